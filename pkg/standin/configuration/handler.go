package configuration

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/umbercrank/umbercrank/pkg/config"
	"github.com/umbercrank/umbercrank/pkg/configservice"
	"github.com/umbercrank/umbercrank/pkg/fault"
	"github.com/umbercrank/umbercrank/pkg/types"
)

const (
	// maxBodyBytes bounds the body of a PUT request.
	maxBodyBytes = 64 << 20
	// maxWait bounds the wait of a manifest read.
	maxWait = 60 * time.Second
	// rawPart is the name of the only part of a raw document.
	rawPart = "document"
)

// Handler returns the HTTP interface of the service:
//
//	GET /v1/manifest?after=N&era=N&wait_ms=N
//	GET /v1/parts/{digest}
//	GET /v1/instances
//	GET /v1/calls
//	PUT /v1/document         a JSON or YAML document; ?raw=true publishes the
//	                         bytes as one part without parsing them
//	PUT /v1/instances        a JSON list
//	PUT /v1/faults           a JSON Faults
//	PUT /v1/restore          {"revision": N}: return from a copy up to a revision of
//	                         the present era, in a higher era
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/manifest", s.getManifest)
	mux.HandleFunc("GET /v1/parts/{digest}", s.getPart)
	mux.HandleFunc("GET /v1/instances", s.getInstances)
	mux.HandleFunc("GET /v1/calls", s.getCalls)
	mux.HandleFunc("PUT /v1/document", s.putDocument)
	mux.HandleFunc("PUT /v1/instances", s.putInstances)
	mux.HandleFunc("PUT /v1/faults", s.putFaults)
	mux.HandleFunc("PUT /v1/restore", s.putRestore)
	return mux
}

func (s *Service) getManifest(w http.ResponseWriter, r *http.Request) {
	number, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	era, _ := strconv.ParseUint(r.URL.Query().Get("era"), 10, 64)
	after, _ := types.NewRevision(era, number)
	milliseconds, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	wait := min(time.Duration(milliseconds)*time.Millisecond, maxWait)
	manifest, err := s.WaitManifest(r.Context(), after, wait)
	writeResult(w, configservice.Published(manifest), err)
}

func (s *Service) getPart(w http.ResponseWriter, r *http.Request) {
	part, err := s.Part(r.Context(), configservice.PartRef{Digest: configservice.Digest(r.PathValue("digest"))})
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(part)
}

func (s *Service) getInstances(w http.ResponseWriter, r *http.Request) {
	instances, err := s.Instances(r.Context())
	if instances == nil {
		instances = []types.Instance{}
	}
	writeResult(w, instances, err)
}

func (s *Service) getCalls(w http.ResponseWriter, _ *http.Request) {
	writeResult(w, s.Calls(), nil)
}

func (s *Service) putDocument(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, fault.Wrap(fault.BodyTooLarge, err, "document"))
		return
	}
	if r.URL.Query().Get("raw") == "true" {
		writeResult(w, configservice.Published(s.PublishParts(map[string][]byte{rawPart: body})), nil)
		return
	}
	document, err := config.Parse(body)
	if err != nil {
		writeError(w, fault.Wrap(fault.BadRequest, err, "document"))
		return
	}
	manifest, err := s.Publish(document)
	writeResult(w, configservice.Published(manifest), err)
}

func (s *Service) putInstances(w http.ResponseWriter, r *http.Request) {
	var instances []types.Instance
	if !decodeBody(w, r, &instances) {
		return
	}
	s.SetInstances(instances)
	writeResult(w, instances, nil)
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !decodeBody(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	writeResult(w, faults, nil)
}

func (s *Service) putRestore(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Revision uint64 `json:"revision"`
	}
	if !decodeBody(w, r, &request) {
		return
	}
	s.mu.Lock()
	era := s.latest().Revision.Era()
	s.mu.Unlock()
	revision, _ := types.NewRevision(era, request.Revision)
	s.Restore(revision)
	writeResult(w, request, nil)
}

// decodeBody decodes a JSON body. If the body is invalid, it writes an error response
// and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		writeError(w, fault.Wrap(fault.BadRequest, err, "body"))
		return false
	}
	return true
}

// writeResult writes the value, or err if it is not nil, as a JSON response.
func writeResult(w http.ResponseWriter, value any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// writeError writes an error response. A part that is not published has status 404.
func writeError(w http.ResponseWriter, err error) {
	failure := fault.From(err)
	if failure.Code == fault.MissingPart {
		failure = fault.New(fault.NotFound, failure.Message)
	}
	_ = failure.WriteTo(w)
}
