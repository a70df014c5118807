package vm_test

import (
	"bufio"
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/lab/enginefake"
	"github.com/endivespoke/endivespoke/internal/request/generation"
)

const streamBody = `{"model":"m","prompt":"p","max_tokens":40,"stream":true}`

// readEvents reads the first events of a stream and returns their text and last cursor.
func readEvents(r *rig, key string, events int) (text, cursor string) {
	request := r.caller(0, "a", "POST", "/v1/completions", streamBody)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultTransport.RoundTrip(request)
	qt.Assert(r.t, err, qt.IsNil)
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for seen := 0; seen < events && scanner.Scan(); {
		if id, found := strings.CutPrefix(scanner.Text(), "id: "); found {
			cursor = id
		}
		if strings.HasPrefix(scanner.Text(), "data: ") {
			text += textOf(scanner.Text())
			seen++
		}
	}
	return text, cursor
}

var textField = regexp.MustCompile(`"text":"([^"]*)"`)

// textOf joins the text of all events in a stream.
func textOf(stream string) string {
	text := ""
	for _, found := range textField.FindAllStringSubmatch(stream, -1) {
		text += found[1]
	}
	return text
}

// TestCursorResumesAfterLossOfEveryCopy sends a cursor to a system without any state of the
// generation, as after the loss of owner, copy and engine. If the engine generates the same
// answer again, the stream is resumed. If not, the caller gets restartRequired, and the text
// it has is never continued with another answer.
func TestCursorResumesAfterLossOfEveryCopy(t *testing.T) {
	engineOptions := enginefake.Options{TokenGap: 5 * time.Millisecond}
	first := newRig(t, options{vms: 1, engine: engineOptions})
	text, cursor := readEvents(first, "k", 10)
	resume := func(r *rig) reply {
		request := r.caller(0, "a", "POST", "/v1/completions", streamBody)
		request.Header.Set("Idempotency-Key", "k")
		request.Header.Set("Last-Event-ID", cursor)
		return r.send(request)
	}
	same := resume(newRig(t, options{vms: 1, engine: engineOptions}))
	qt.Assert(t, same.status, qt.Equals, http.StatusOK)
	qt.Assert(t, text+textOf(same.body), qt.Equals, expected("a", "k", "p", 40))
	engineOptions.Salt = "another"
	other := newRig(t, options{vms: 1, engine: engineOptions})
	qt.Assert(t, resume(other).code(), qt.Equals, "restartRequired/failed")
}

// TestSlowReaderDoesNotSlowOthers does not read one caller's connection while others get
// their answers, and then reads it to its end.
func TestSlowReaderDoesNotSlowOthers(t *testing.T) {
	r := newRig(t, options{vms: 2})
	request := r.caller(0, "a", "POST", "/v1/completions", `{"model":"m","prompt":"slow","max_tokens":20000,"stream":true}`)
	request.Header.Set("Idempotency-Key", "slow")
	response, err := http.DefaultTransport.RoundTrip(request)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	for range 10 {
		answer := r.send(r.caller(0, "b", "POST", "/v1/completions", `{"model":"m","prompt":"quick","max_tokens":30}`))
		qt.Assert(t, answer.status, qt.Equals, http.StatusOK)
	}
	var body bytes.Buffer
	_, err = body.ReadFrom(response.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, textOf(body.String()) == expected("a", "slow", "slow", 20000), qt.IsTrue)
}

// TestTLSForCallers serves callers over TLS with the certificate of the settings.
func TestTLSForCallers(t *testing.T) {
	certificate, key, pool := selfSigned(t)
	r := newRig(t, options{vms: 1, certificate: certificate, key: key, pool: pool})
	answer := r.send(r.caller(0, "a", "POST", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":3}`))
	qt.Assert(t, answer.status, qt.Equals, http.StatusOK, qt.Commentf("%s", answer.body))
}

func selfSigned(t *testing.T) (certificateFile, keyFile string, pool *x509.CertPool) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	qt.Assert(t, err, qt.IsNil)
	keyBytes, err := x509.MarshalPKCS8PrivateKey(key)
	qt.Assert(t, err, qt.IsNil)
	write := func(name, kind string, body []byte) string {
		file := filepath.Join(t.TempDir(), name)
		qt.Assert(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: body}), 0o600), qt.IsNil)
		return file
	}
	pool = x509.NewCertPool()
	parsed, err := x509.ParseCertificate(der)
	qt.Assert(t, err, qt.IsNil)
	pool.AddCert(parsed)
	return write("certificate.pem", "CERTIFICATE", der), write("key.pem", "PRIVATE KEY", keyBytes), pool
}

// transport returns the transport of the rig's requests.
func (r *rig) transport() *http.Transport {
	return &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: r.pool, MinVersion: tls.VersionTLS12}}
}

// TestContinuationIsNotUsedAsWholeAnswer sends a cursor whose engine generation began in the
// middle of the answer, after the loss of every copy. Used as the whole answer, the
// continuation would be stored under the key and returned to the next request with it.
func TestContinuationIsNotUsedAsWholeAnswer(t *testing.T) {
	r := newRig(t, options{vms: 1})
	key, err := base64.StdEncoding.DecodeString(peerKey)
	qt.Assert(t, err, qt.IsNil)
	sealer := generation.Sealer{Key: key}
	_, text := readEvents(r, "other", 3)
	other, err := sealer.Open("a", text)
	qt.Assert(t, err, qt.IsNil)
	lost := generation.Cursor{Generation: "lost", Offset: 5, Hash: 1, Server: other.Server, EngineRequest: other.EngineRequest, EngineBase: 5}
	request := r.caller(0, "a", "POST", "/v1/completions", streamBody)
	request.Header.Set("Idempotency-Key", "k")
	request.Header.Set("Last-Event-ID", sealer.Seal("a", lost))
	qt.Assert(t, r.send(request).code(), qt.Equals, "restartRequired/failed")
	whole := r.send(r.caller(0, "a", "GET", "/v1/requests/k", ""))
	qt.Assert(t, textOf(whole.body), qt.Equals, expected("a", "k", "p", 40))
}
