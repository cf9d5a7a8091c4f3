package logstandin

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/verdict"
)

// Client is one daemon's connection to a log. Its faults affect this daemon
// alone.
type Client struct {
	log         logclient.Log
	unreachable atomic.Bool
	delay       atomic.Int64
}

func NewClient(log logclient.Log) *Client { return &Client{log: log} }

// SetUnreachable makes every later call of this client fail without effect, or
// ends that. Responses to calls in progress are lost.
func (c *Client) SetUnreachable(unreachable bool) { c.unreachable.Store(unreachable) }

// SetDelay delays each call of this client before it is sent.
func (c *Client) SetDelay(d time.Duration) { c.delay.Store(int64(d)) }

// Append implements logclient.Log.
func (c *Client) Append(ctx context.Context, credential logclient.Credential, entries [][]byte) (uint64, error) {
	if err := c.beforeCall(ctx); err != nil {
		return 0, err
	}
	first, err := c.log.Append(ctx, credential, entries)
	if c.unreachable.Load() {
		return 0, verdict.New(verdict.MayHaveRun, ReasonResponseLost, "path cut while the append was under way")
	}
	return first, err
}

// Read implements logclient.Log.
func (c *Client) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (logclient.Page, error) {
	if err := c.beforeCall(ctx); err != nil {
		return logclient.Page{}, err
	}
	page, err := c.log.Read(ctx, from, limit, wait)
	if c.unreachable.Load() {
		return logclient.Page{}, verdict.New(verdict.NotRun, ReasonUnreachable, "path cut while the read was under way")
	}
	return page, err
}

func (c *Client) beforeCall(ctx context.Context) error {
	if c.unreachable.Load() {
		return verdict.New(verdict.NotRun, ReasonUnreachable, "no path to the log")
	}
	return verdict.Wrap(sleep(ctx, time.Duration(c.delay.Load())), verdict.NotRun, ReasonTimeout)
}
