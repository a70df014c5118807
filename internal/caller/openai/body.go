package openai

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/caller/problem"
	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/request/generation"
)

const (
	// defaultMaxTokens is used when the request has no limit.
	defaultMaxTokens = 1024
	// MaxTokens bounds the number of tokens in one answer.
	MaxTokens = 1 << 20
	// defaultTimeout sets the deadline of requests that have none.
	defaultTimeout = 15 * time.Minute
	// MaxKeyBytes bounds the length of an Idempotency-Key.
	MaxKeyBytes = 200
)

// completionBody has the supported fields of the OpenAI request bodies. Requests
// with any other field are rejected, since the field could change the answer.
type completionBody struct {
	Model               string               `json:"model"`
	Prompt              string               `json:"prompt"`
	Messages            []generation.Message `json:"messages"`
	MaxTokens           *int                 `json:"max_tokens"`
	MaxCompletionTokens *int                 `json:"max_completion_tokens"`
	Seed                *int64               `json:"seed"`
	Temperature         *float64             `json:"temperature"`
	TopP                *float64             `json:"top_p"`
	Stop                stopList             `json:"stop"`
	Stream              bool                 `json:"stream"`
	StreamOptions       json.RawMessage      `json:"stream_options"`
	User                string               `json:"user"`
	N                   *int                 `json:"n"`
	Priority            string               `json:"priority"`
}

// stopList is the value of "stop": one string or a list of strings.
type stopList []string

// UnmarshalJSON decodes both forms.
func (s *stopList) UnmarshalJSON(body []byte) error {
	var one string
	if err := json.Unmarshal(body, &one); err == nil {
		*s = stopList{one}
		return nil
	}
	var list []string
	if err := json.Unmarshal(body, &list); err != nil {
		return errors.New("stop is neither a string nor a list of strings")
	}
	*s = list
	return nil
}

// parsedRequest is a caller's request that has been validated.
type parsedRequest struct {
	request  generation.RequestID
	spec     generation.Spec
	keyGiven bool
	stream   bool
	chat     bool
}

func badRequest(detail string) *problem.Problem {
	return &problem.Problem{Code: problem.BadRequest, Outcome: problem.NotRun, Detail: detail}
}

// parse decodes a request and validates it against the configuration.
func parse(r *http.Request, body []byte, chat bool, account *object.ClientAccount, set *object.Set, now time.Time) (parsed parsedRequest, p *problem.Problem) {
	var decoded completionBody
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&decoded); err != nil {
		return parsedRequest{}, badRequest("body: " + err.Error())
	}
	if p = checkBody(decoded, chat); p != nil {
		return parsedRequest{}, p
	}
	key, given, p := Key(r)
	if p != nil {
		return parsedRequest{}, p
	}
	parsed = parsedRequest{
		request:  generation.RequestID{Account: account.Name, Key: key},
		keyGiven: given,
		stream:   decoded.Stream,
		chat:     chat,
	}
	if parsed.spec, p = specOf(decoded, account, set); p != nil {
		return parsedRequest{}, p
	}
	if parsed.spec.Deadline, p = Deadline(r, now, defaultTimeout); p != nil {
		return parsedRequest{}, p
	}
	if decoded.Seed == nil {
		parsed.spec.Seed = generation.SeedFor(parsed.request)
	}
	return parsed, nil
}

func checkBody(body completionBody, chat bool) *problem.Problem {
	switch {
	case chat && len(body.Messages) == 0:
		return badRequest("messages: needs at least one")
	case chat && body.Prompt != "":
		return badRequest("prompt: belongs to /v1/completions")
	case !chat && body.Prompt == "":
		return badRequest("prompt: must be a string that is not empty")
	case !chat && len(body.Messages) > 0:
		return badRequest("messages: belongs to /v1/chat/completions")
	case body.N != nil && *body.N != 1:
		return badRequest("n: only 1 is supported")
	}
	if tokens := maxTokens(body); tokens < 1 || tokens > MaxTokens {
		return badRequest("max_tokens: " + strconv.Itoa(tokens) + " is not within 1 to " + strconv.Itoa(MaxTokens))
	}
	return nil
}

func maxTokens(body completionBody) int {
	switch {
	case body.MaxCompletionTokens != nil:
		return *body.MaxCompletionTokens
	case body.MaxTokens != nil:
		return *body.MaxTokens
	}
	return defaultMaxTokens
}

func specOf(body completionBody, account *object.ClientAccount, set *object.Set) (generation.Spec, *problem.Problem) {
	version, found := set.VersionOf(body.Model)
	if !found {
		return generation.Spec{}, &problem.Problem{Code: problem.UnknownModel, Outcome: problem.NotRun, Detail: "no model named " + strconv.Quote(body.Model)}
	}
	if !slices.Contains(account.Models, body.Model) {
		return generation.Spec{}, &problem.Problem{Code: problem.Forbidden, Outcome: problem.NotRun, Detail: "the client account may not use model " + strconv.Quote(body.Model)}
	}
	priority, p := Priority(body.Priority, account, set)
	if p != nil {
		return generation.Spec{}, p
	}
	spec := generation.Spec{
		Model:       body.Model,
		Version:     version.Name,
		EngineModel: version.EngineModel,
		Prompt:      body.Prompt,
		Messages:    body.Messages,
		MaxTokens:   maxTokens(body),
		Rank:        priority.Rank,
		Lookup:      priority.Lookup,
		Sampling:    generation.Sampling{Temperature: body.Temperature, TopP: body.TopP, Stop: body.Stop},
	}
	if body.Seed != nil {
		spec.Seed = *body.Seed
	}
	return spec, nil
}

// Priority returns the priority that a request names, or the account's first one
// if the request names none.
func Priority(name string, account *object.ClientAccount, set *object.Set) (object.Priority, *problem.Problem) {
	if name == "" {
		name = account.Priorities[0]
	}
	priority, found := set.Priority(name)
	if !found || !slices.Contains(account.Priorities, name) {
		return object.Priority{}, &problem.Problem{Code: problem.UnknownPriority, Outcome: problem.NotRun, Detail: "the client account has no priority " + strconv.Quote(name)}
	}
	return priority, nil
}

// Key returns the request's Idempotency-Key, or a new random key if it has none.
func Key(r *http.Request) (key string, given bool, p *problem.Problem) {
	key = r.Header.Get("Idempotency-Key")
	if key == "" {
		return uuid.NewString(), false, nil
	}
	if p = CheckKey(key); p != nil {
		return "", false, p
	}
	return key, true, nil
}

// CheckKey rejects keys that are too long or not printable ASCII.
func CheckKey(key string) *problem.Problem {
	if len(key) > MaxKeyBytes {
		return &problem.Problem{Code: problem.KeyInvalid, Outcome: problem.NotRun, Detail: "Idempotency-Key is longer than " + strconv.Itoa(MaxKeyBytes) + " bytes"}
	}
	for _, character := range []byte(key) {
		if character <= ' ' || character > '~' {
			return &problem.Problem{Code: problem.KeyInvalid, Outcome: problem.NotRun, Detail: "Idempotency-Key has a character that is not printable ASCII"}
		}
	}
	return nil
}

// DeadlineHeader is the header with which callers set a request's deadline, in the
// format of RFC 3339.
const DeadlineHeader = "Request-Deadline"

// Deadline returns the request's deadline, or the time after timeout if it has
// none.
func Deadline(r *http.Request, now time.Time, timeout time.Duration) (time.Time, *problem.Problem) {
	text := r.Header.Get(DeadlineHeader)
	if text == "" {
		return now.Add(timeout), nil
	}
	deadline, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, badRequest(DeadlineHeader + ": not a time in the form of RFC 3339")
	}
	if !deadline.After(now) {
		return time.Time{}, &problem.Problem{Code: problem.DeadlinePassed, Outcome: problem.NotRun, Detail: DeadlineHeader + " has passed"}
	}
	return deadline, nil
}
