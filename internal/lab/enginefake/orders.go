package enginefake

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
)

// loadedModel is an entry of the answer to GET /v1/models.
type loadedModel struct {
	ID      string `json:"id"`
	Running int    `json:"running"`
}

// orders is the state of an engine that loads and unloads models on orders. An engine that
// isn't managed runs every model.
type orders struct {
	managed  bool
	models   []string
	highest  uint64
	accepted []string
}

// Manage makes the engine managed, with just these models loaded. With checksFencing it
// refuses orders whose fencing number is below the highest it received.
func (e *Engine) Manage(checksFencing bool, models ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.managed = true
	e.orders.models = models
	e.Options.ChecksFencing = checksFencing
}

// Models lists the loaded models.
func (e *Engine) Models() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders.models)
}

// Accepted lists the orders that were carried out, in the form "load m 3": action, model
// and fencing number.
func (e *Engine) Accepted() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders.accepted)
}

// cannotRun reports whether the engine is managed and a model isn't loaded. Callers hold mu.
func (e *Engine) cannotRun(model string) bool {
	return e.orders.managed && !slices.Contains(e.orders.models, model)
}

func (e *Engine) listModels(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := []loadedModel{}
	for _, model := range e.orders.models {
		entry := loadedModel{ID: model}
		for _, g := range e.generations {
			if g.body.Model == model && g.finish == "" && !g.cancelled {
				entry.Running++
			}
		}
		list = append(list, entry)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"object": "list", "data": list, "managed": e.orders.managed})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Model string `json:"model"`
	}
	number, err := strconv.ParseUint(r.Header.Get("Fencing-Number"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		http.Error(w, "order is not readable", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Options.ChecksFencing && number < e.orders.highest {
		http.Error(w, "fenced", http.StatusPreconditionFailed)
		return
	}
	e.orders.highest = max(e.orders.highest, number)
	action := r.PathValue("action")
	e.orders.accepted = append(e.orders.accepted, action+" "+body.Model+" "+strconv.FormatUint(number, 10))
	at := slices.Index(e.orders.models, body.Model)
	switch {
	case action == "load" && at < 0:
		e.orders.models = append(e.orders.models, body.Model)
	case action == "unload" && at >= 0:
		e.orders.models = slices.Delete(e.orders.models, at, at+1)
	}
	e.orders.managed = true
	w.WriteHeader(http.StatusNoContent)
}
