package entry

import (
	"net/http"
	"slices"

	"github.com/kataras/iris/v12"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// modelOwner is the value of owned_by for every model.
const modelOwner = "umbercrank"

// Model is a model object of the OpenAI API.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the response body of GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

func newModel(id string) Model {
	return Model{ID: id, Object: "model", OwnedBy: modelOwner}
}

func (e *Entry) serveModels(w http.ResponseWriter, r *http.Request, _ iris.Context) error {
	_, snapshot, err := e.authenticate(r)
	if err != nil {
		return err
	}
	list := ModelList{Object: "list", Data: []Model{}}
	for _, id := range snapshot.Models() {
		list.Data = append(list.Data, newModel(id))
	}
	return writeJSON(w, list)
}

func (e *Entry) serveModel(w http.ResponseWriter, r *http.Request, params iris.Context) error {
	_, snapshot, err := e.authenticate(r)
	if err != nil {
		return err
	}
	id := params.Params().Get("model")
	if !slices.Contains(snapshot.Models(), id) {
		return fault.New(fault.UnknownModel, "no target serves the model "+id)
	}
	return writeJSON(w, newModel(id))
}
