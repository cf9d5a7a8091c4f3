package workerstandin

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/adapter/workerhttp"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 1 << 20

type errorResponse struct {
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason"`
	Message string          `json:"message"`
}

// Handler serves the protocol of the platform's workers for all VMs, as POST
// /v1/workers/{vm}/{method}.
func (w *Workers) Handler() http.Handler {
	r := mux.NewRouter()
	serve(r, "inventory", func(ctx context.Context, vm cluster.VM, in workerhttp.InventoryBody) (any, error) {
		return w.inventorySince(ctx, vm.Name, in)
	})
	serve(r, "start", func(ctx context.Context, vm cluster.VM, in placer.StartRequest) (any, error) {
		return struct{}{}, w.Start(ctx, vm, in)
	})
	serve(r, "renew", func(ctx context.Context, vm cluster.VM, in workerhttp.RenewBody) (any, error) {
		return w.renewSince(ctx, vm.Name, in)
	})
	serve(r, "command", func(ctx context.Context, vm cluster.VM, in placer.CommandRequest) (any, error) {
		return struct{}{}, w.Command(ctx, vm, in)
	})
	return r
}

func serve[T any](r *mux.Router, method string, f func(context.Context, cluster.VM, T) (any, error)) {
	r.HandleFunc("/v1/workers/{vm}/"+method, func(rw http.ResponseWriter, req *http.Request) {
		var in T
		if err := json.NewDecoder(http.MaxBytesReader(rw, req.Body, maxBodyBytes)).Decode(&in); err != nil {
			respond(rw, http.StatusBadRequest, errorResponse{verdict.NotRun, "bad_request", err.Error()})
			return
		}
		out, err := f(req.Context(), cluster.VM{Name: mux.Vars(req)["vm"]}, in)
		if err == nil {
			respond(rw, http.StatusOK, out)
			return
		}
		if verdict.Of(err) != verdict.NotRun || verdict.ReasonOf(err) == ReasonUnreachable {
			panic(http.ErrAbortHandler)
		}
		respond(rw, http.StatusConflict, errorResponse{verdict.Of(err), verdict.ReasonOf(err), errors.Cause(err).Error()})
	}).Methods(http.MethodPost)
}

func respond(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}
