package cli

import (
	"strings"
	"time"

	"github.com/currantwinch/currantwinch/internal/operatorapi"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

type submitCommand struct {
	Workload string        `arg:"" help:"Workload to run, as service/workload."`
	ID       string        `help:"Job ID; a new one by default. The same ID is accepted once."`
	Wait     time.Duration `help:"Wait this long for the job to be known everywhere."`
}

// Help shows an example.
func (submitCommand) Help() string { return "Example: currantwinch submit reviews/nightly" }

// Run submits the job.
func (c *submitCommand) Run(e *env) error {
	service, workload, ok := strings.Cut(c.Workload, "/")
	if !ok {
		return &usageError{errors.Errorf("%q is not service/workload", c.Workload)}
	}
	id := c.ID
	if id == "" {
		id = c.Workload + "/" + uuid.NewString()
	}
	accepted, err := e.client.Submit(e.ctx, operatorapi.Submission{Service: service, Workload: workload, JobID: id})
	if accepted, err = e.resolve(accepted, err, "job/"+id); err != nil {
		return err
	}
	return e.finishChange(accepted, c.Wait)
}

type cancelCommand struct {
	JobID string `arg:"" help:"Job to cancel."`
}

// Help shows an example.
func (cancelCommand) Help() string { return "Example: currantwinch cancel reviews/nightly/7" }

// Run cancels the job.
func (c *cancelCommand) Run(e *env) error {
	accepted, err := e.client.Cancel(e.ctx, c.JobID)
	if accepted, err = e.resolve(accepted, err, "cancel/"+c.JobID); err != nil {
		return err
	}
	return e.finishChange(accepted, 0)
}
