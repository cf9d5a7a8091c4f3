package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/internal/intake"
	"github.com/pkg/errors"
)

const (
	// sendQueueLength is the capacity of the queue of messages to be written.
	sendQueueLength = 512
	// writeTimeout limits one write, which blocks if the peer does not read.
	writeTimeout = 3 * time.Second
)

var (
	errQueueFull = errors.New("too many messages wait to be written")
	errTooLarge  = errors.Errorf("message is over %d bytes", maxMessageBytes)
	errClosed    = errors.New("connection is closed")
	errUnread    = errors.New("messages to it are not read")
)

// stream is a JSON-RPC object stream with length-prefixed messages. WriteObject
// never blocks: messages go through a bounded queue, and it fails if that is full.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader
	queue  chan []byte
	once   sync.Once
	done   chan struct{}
	intake *Intake
	// messages bounds the connection's messages together with those of others, and queued
	// holds the bytes of its own that wait to be written.
	messages Messages
	queued   *intake.Entry
	client   intake.Client
	// greeted reports whether the other end has said who it is.
	greeted func() bool

	sentBytes, readBytes     atomic.Uint64
	lastReadNano             atomic.Int64
	sentCounter, readCounter atomic.Pointer[metrics.Counter]
}

func newStream(c net.Conn, bounds *Intake, messages Messages) *stream {
	s := &stream{
		conn: c, queue: make(chan []byte, sendQueueLength), done: make(chan struct{}),
		intake: bounds, messages: messages, client: clientOf(c), greeted: func() bool { return true },
	}
	s.queued = messages.Queued.Begin(s.client, 0, func() {
		bounds.Report.MessageRefused(c.RemoteAddr().String(), errUnread)
		_ = s.Close()
	})
	s.reader = bufio.NewReader(s)
	s.lastReadNano.Store(time.Now().UnixNano())
	return s
}

// setMetrics makes the stream count its bytes in the metrics of the named peer.
func (s *stream) setMetrics(set *metrics.Set, peer string, crossRegion bool) {
	if set == nil {
		return
	}
	labels := fmt.Sprintf(`{peer=%q,cross_region="%t"}`, peer, crossRegion)
	s.sentCounter.Store(set.GetOrCreateCounter("currantwinch_peer_sent_bytes_total" + labels))
	s.readCounter.Store(set.GetOrCreateCounter("currantwinch_peer_read_bytes_total" + labels))
}

func (s *stream) lastRead() time.Time { return time.Unix(0, s.lastReadNano.Load()) }

// Read reads from the connection, counts the bytes and notes the time.
func (s *stream) Read(b []byte) (int, error) {
	n, err := s.conn.Read(b)
	s.readBytes.Add(uint64(n))
	if c := s.readCounter.Load(); c != nil {
		c.Add(n)
	}
	s.lastReadNano.Store(time.Now().UnixNano())
	return n, err
}

// ReadObject reads one message. It fails if the message is larger than
// maxMessageBytes.
func (s *stream) ReadObject(v any) error {
	n, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return err
	}
	if n > maxMessageBytes || n > maxHelloBytes && !s.greeted() {
		return errTooLarge
	}
	m := s.beginRead(int(n))
	data, err := s.readMessage(m, int64(n))
	if err != nil {
		return m.finish(err)
	}
	// The message counts until it is decoded, since both forms are in memory then.
	undecodable := json.Unmarshal(data, v)
	if err := m.finish(nil); err != nil {
		return err
	}
	return undecodable
}

// WriteObject queues one message for writing. If it returns an error, the message
// was not queued.
func (s *stream) WriteObject(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(data) > maxMessageBytes {
		return errTooLarge
	}
	frame := binary.AppendUvarint(make([]byte, 0, len(data)+binary.MaxVarintLen32), uint64(len(data)))
	frame = append(frame, data...)
	select {
	case <-s.done:
		return errClosed
	default:
	}
	if !s.queued.TryQueue(int64(len(frame))) {
		return errQueueFull
	}
	select {
	case s.queue <- frame:
		return nil
	default:
		s.queued.Release(int64(len(frame)))
		return errQueueFull
	}
}

// Close stops the write loop and closes the connection.
func (s *stream) Close() error {
	s.once.Do(func() { close(s.done) })
	return s.conn.Close()
}

// writeLoop writes queued messages until the stream is closed or a write fails.
func (s *stream) writeLoop() {
	defer s.queued.End()
	for {
		select {
		case <-s.done:
			return
		case frame := <-s.queue:
			if err := s.write(frame); err != nil {
				_ = s.Close()
				return
			}
		}
	}
}

func (s *stream) write(frame []byte) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := s.conn.Write(frame)
	_ = s.queued.Add(n)
	s.queued.Release(int64(len(frame)))
	s.sentBytes.Add(uint64(n))
	if c := s.sentCounter.Load(); c != nil {
		c.Add(n)
	}
	return err
}
