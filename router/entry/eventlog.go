package entry

import "encoding/binary"

// eventLog stores the events of a stream compactly: for each event it keeps
// only the bytes that differ from the previous one, since the chunks of an
// answer differ in a few bytes. It is used by one goroutine.
type eventLog struct {
	last []byte
	raw  []byte
}

// add appends an event. It does not retain data.
func (l *eventLog) add(data []byte) {
	head := commonPrefix(l.last, data)
	tail := commonSuffix(l.last[head:], data[head:])
	middle := data[head : len(data)-tail]
	l.raw = binary.AppendUvarint(l.raw, uint64(head))
	l.raw = binary.AppendUvarint(l.raw, uint64(tail))
	l.raw = binary.AppendUvarint(l.raw, uint64(len(middle)))
	l.raw = append(l.raw, middle...)
	l.last = append(l.last[:0], data...)
}

// each calls f for every event in order. The slice is valid only during the
// call.
func (l *eventLog) each(f func(data []byte)) {
	var last, data []byte
	for raw := l.raw; len(raw) > 0; {
		var head, tail, middle int
		head, raw = cutUvarint(raw)
		tail, raw = cutUvarint(raw)
		middle, raw = cutUvarint(raw)
		data = append(data[:0], last[:head]...)
		data = append(data, raw[:middle]...)
		data = append(data, last[len(last)-tail:]...)
		raw = raw[middle:]
		f(data)
		last, data = data, last
	}
}

func cutUvarint(raw []byte) (int, []byte) {
	v, n := binary.Uvarint(raw)
	return int(v), raw[n:]
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}
