// Package jsonsplit splits a JSON object or array into its members without decoding them.
// A member of any content, such as one nested too deeply for a decoder, does not keep the
// others from being read.
package jsonsplit

import (
	"bytes"
	"encoding/json"
	"errors"
)

// ErrMalformed means that a text is no object or array, or that its brackets or strings do not
// match.
var ErrMalformed = errors.New("jsonsplit: malformed object or array")

// ErrTooMany means that an object or array has more members than the caller takes.
var ErrTooMany = errors.New("jsonsplit: too many members")

// Object returns the members of an object by name; of several with one name the last one
// counts. Members are not checked. It returns ErrTooMany if there are more than limit, since
// short members take more memory than their text.
func Object(data []byte, limit int) (map[string]json.RawMessage, error) {
	members := map[string]json.RawMessage{}
	err := split(data, '{', '}', limit, func(member []byte) error {
		end, err := scanString(member)
		if err != nil {
			return err
		}
		var name string
		if err := json.Unmarshal(member[:end], &name); err != nil {
			return err
		}
		value := bytes.TrimSpace(member[end:])
		if len(value) == 0 || value[0] != ':' {
			return ErrMalformed
		}
		members[name] = bytes.TrimSpace(value[1:])
		return nil
	})
	return members, err
}

// Array returns the elements of an array. They are not checked. It returns ErrTooMany if there
// are more than limit.
func Array(data []byte, limit int) ([]json.RawMessage, error) {
	var elements []json.RawMessage
	err := split(data, '[', ']', limit, func(element []byte) error {
		elements = append(elements, element)
		return nil
	})
	return elements, err
}

// split calls each with every member between the outermost brackets, at most limit times.
func split(data []byte, open, end byte, limit int, each func([]byte) error) error {
	data = bytes.TrimSpace(data)
	if len(data) < 2 || data[0] != open || data[len(data)-1] != end {
		return ErrMalformed
	}
	body := data[1 : len(data)-1]
	if len(bytes.TrimSpace(body)) == 0 {
		return nil
	}
	for count := 1; ; count++ {
		if count > limit {
			return ErrTooMany
		}
		n, err := scanMember(body)
		if err != nil {
			return err
		}
		member := bytes.TrimSpace(body[:n])
		if len(member) == 0 {
			return ErrMalformed
		}
		if err := each(member); err != nil {
			return err
		}
		if n == len(body) {
			return nil
		}
		body = body[n+1:]
	}
}

// scanMember returns the length of the first member of a list, up to its comma or the end.
func scanMember(data []byte) (int, error) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			n, err := scanString(data[i:])
			if err != nil {
				return 0, err
			}
			i += n - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth < 0 {
				return 0, ErrMalformed
			}
		case ',':
			if depth == 0 {
				return i, nil
			}
		}
	}
	if depth != 0 {
		return 0, ErrMalformed
	}
	return len(data), nil
}

// scanString returns the length of the string, with its quotes, with which data begins.
func scanString(data []byte) (int, error) {
	if len(data) == 0 || data[0] != '"' {
		return 0, ErrMalformed
	}
	for i := 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1, nil
		}
	}
	return 0, ErrMalformed
}
