package logstandin

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/verdict"
)

// Client is one daemon's path to a Log, which can be cut alone.
type Client struct {
	log   logclient.Log
	cut   atomic.Bool
	delay atomic.Int64
}

// NewClient returns a path to log.
func NewClient(log logclient.Log) *Client { return &Client{log: log} }

// SetUnreachable makes every later call on this path fail without effect. Answers to
// calls under way are lost.
func (c *Client) SetUnreachable(cut bool) { c.cut.Store(cut) }

// SetDelay makes calls on this path wait before they are made.
func (c *Client) SetDelay(d time.Duration) { c.delay.Store(int64(d)) }

// Append implements logclient.Log.
func (c *Client) Append(ctx context.Context, credential logclient.Credential, entries [][]byte) (uint64, error) {
	if err := c.enter(ctx); err != nil {
		return 0, err
	}
	first, err := c.log.Append(ctx, credential, entries)
	if c.cut.Load() {
		return 0, verdict.New(verdict.MayHaveRun, ReasonResponseLost, "path cut while the append was under way")
	}
	return first, err
}

// Read implements logclient.Log.
func (c *Client) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (logclient.Page, error) {
	if err := c.enter(ctx); err != nil {
		return logclient.Page{}, err
	}
	page, err := c.log.Read(ctx, from, limit, wait)
	if c.cut.Load() {
		return logclient.Page{}, verdict.New(verdict.NotRun, ReasonUnreachable, "path cut while the read was under way")
	}
	return page, err
}

func (c *Client) enter(ctx context.Context) error {
	if c.cut.Load() {
		return verdict.New(verdict.NotRun, ReasonUnreachable, "no path to the log")
	}
	return verdict.Wrap(sleep(ctx, time.Duration(c.delay.Load())), verdict.NotRun, ReasonTimeout)
}
