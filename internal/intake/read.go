package intake

import (
	"errors"
	"io"
	"time"
)

// firstBytes is the initial size of a buffer. Most submissions and messages fit in it.
const firstBytes = 4 * kilobyte

// ErrTooLarge is the error of a body that is longer than allowed.
var ErrTooLarge = errors.New("body too large")

// ReadAll reads a body of at most limit bytes until r returns io.EOF. Its length is declared, or
// unknown if that is negative. The buffer grows with what has come, and each size is taken from
// the budget before it is allocated, so that a length that is only declared takes no memory.
// Each time that it waited for memory, it tells waited for how long.
//
// The error is a *Refusal if the request has to be refused, ErrTooLarge, ErrOverBudget, or that
// of r. The bytes that were read before an error are returned with it.
func (e *Entry) ReadAll(r io.Reader, declared, limit int64, waited func(time.Duration)) ([]byte, error) {
	// One byte more than the longest body shows its end, or that it is too long.
	most := limit + 1
	if declared >= 0 {
		most = min(most, declared+1)
	}
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			grown, err := e.grow(buffer, most, waited)
			if err != nil {
				return buffer, err
			}
			buffer = grown
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if refusal := e.Add(n); refusal != nil {
			return buffer, refusal
		}
		switch {
		case int64(len(buffer)) > limit:
			return buffer, ErrTooLarge
		case err == io.EOF:
			return buffer, nil
		case err != nil:
			return buffer, err
		}
	}
}

// grow returns a buffer of twice the size, at most of most bytes, with the data of another one,
// in place of which it is held in the budget.
func (e *Entry) grow(data []byte, most int64, waited func(time.Duration)) ([]byte, error) {
	before := int64(cap(data))
	size := min(most, max(firstBytes, 2*before))
	began := time.Now()
	if err := e.Take(size); err != nil {
		return nil, err
	}
	waited(time.Since(began))
	grown := make([]byte, len(data), size)
	copy(grown, data)
	e.Release(before)
	return grown, nil
}
