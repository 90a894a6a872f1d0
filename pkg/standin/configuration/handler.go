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
	// maxBodyBytes bounds a published document.
	maxBodyBytes = 64 << 20
	// maxWait bounds a waiting read.
	maxWait = 60 * time.Second
	// rawPart names the single part of a document published as it is.
	rawPart = "document"
)

// Handler serves the stand-in over HTTP:
//
//	GET /v1/manifest?after=N&wait_ms=N
//	GET /v1/parts/{digest}
//	GET /v1/instances
//	GET /v1/calls
//	PUT /v1/document         a JSON or YAML document; ?raw=true publishes the
//	                         bytes as one part without reading them
//	PUT /v1/instances        a JSON list
//	PUT /v1/faults           a JSON Faults
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/manifest", s.getManifest)
	mux.HandleFunc("GET /v1/parts/{digest}", s.getPart)
	mux.HandleFunc("GET /v1/instances", s.getInstances)
	mux.HandleFunc("GET /v1/calls", s.getCalls)
	mux.HandleFunc("PUT /v1/document", s.putDocument)
	mux.HandleFunc("PUT /v1/instances", s.putInstances)
	mux.HandleFunc("PUT /v1/faults", s.putFaults)
	return mux
}

func (s *Service) getManifest(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	milliseconds, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	wait := min(time.Duration(milliseconds)*time.Millisecond, maxWait)
	manifest, err := s.WaitManifest(r.Context(), types.Revision(after), wait)
	answer(w, manifest, err)
}

func (s *Service) getPart(w http.ResponseWriter, r *http.Request) {
	part, err := s.Part(r.Context(), configservice.PartRef{Digest: configservice.Digest(r.PathValue("digest"))})
	if err != nil {
		refuse(w, err)
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
	answer(w, instances, err)
}

func (s *Service) getCalls(w http.ResponseWriter, _ *http.Request) {
	answer(w, s.Calls(), nil)
}

func (s *Service) putDocument(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refuse(w, fault.Wrap(fault.BodyTooLarge, err, "document"))
		return
	}
	if r.URL.Query().Get("raw") == "true" {
		answer(w, s.PublishParts(map[string][]byte{rawPart: body}), nil)
		return
	}
	document, err := config.Parse(body)
	if err != nil {
		refuse(w, fault.Wrap(fault.BadRequest, err, "document"))
		return
	}
	manifest, err := s.Publish(document)
	answer(w, manifest, err)
}

func (s *Service) putInstances(w http.ResponseWriter, r *http.Request) {
	var instances []types.Instance
	if !read(w, r, &instances) {
		return
	}
	s.SetInstances(instances)
	answer(w, instances, nil)
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !read(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	answer(w, faults, nil)
}

// read decodes a JSON body or refuses the request.
func read(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		refuse(w, fault.Wrap(fault.BadRequest, err, "body"))
		return false
	}
	return true
}

// answer sends a value or a failure as JSON.
func answer(w http.ResponseWriter, value any, err error) {
	if err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// refuse sends a failure. A part that is not published gives status 404.
func refuse(w http.ResponseWriter, err error) {
	failure := fault.From(err)
	if failure.Code == fault.MissingPart {
		failure = fault.New(fault.NotFound, failure.Message)
	}
	_ = failure.WriteTo(w)
}
