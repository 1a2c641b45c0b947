package conf

import (
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/tailscale/hujson"
)

const maxFileBytes = 1 << 20 // a longer file is truncated

// readFile calls setValue with each field of a settings file. Faults of fields are
// recorded, so that one fault doesn't hide the others. An error is returned only if
// the file can't be read or parsed as a whole.
func (s *Set) readFile(r io.Reader, setValue func(name, value string) error) error {
	text, err := io.ReadAll(io.LimitReader(r, maxFileBytes))
	if err != nil {
		return err
	}
	fields, err := parseFile(text)
	if err != nil {
		s.malformed = true
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if s.flags.Lookup(name) == nil {
			s.addFault(name, "is no setting")
			continue
		}
		s.given[name] = true
		value, err := textOf(fields[name])
		if err != nil {
			s.addFault(name, err.Error())
			continue
		}
		if err := setValue(name, value); err != nil {
			s.addFault(name, rootCause(err))
		}
	}
	return nil
}

// parseFile returns the fields of an object in JSON with comments.
func parseFile(text []byte) (map[string]json.RawMessage, error) {
	standardJSON, err := hujson.Standardize(text)
	if err != nil {
		return nil, err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(standardJSON, &fields); err != nil {
		return nil, err
	}
	return fields, nil
}

// textOf returns a JSON value in the form that flags accept. An array of strings
// becomes a list separated by commas, and null the empty string. Other arrays and
// objects are errors.
func textOf(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var items []string
	if json.Unmarshal(raw, &items) == nil && items != nil {
		return strings.Join(items, ","), nil
	}
	var number json.Number
	if json.Unmarshal(raw, &number) == nil && number != "" {
		return number.String(), nil
	}
	var boolean *bool
	if json.Unmarshal(raw, &boolean) == nil && boolean != nil {
		return string(raw), nil
	}
	return "", merry.New("must be a string, a number, true, false or an array of strings")
}

// rootCause returns the text of the innermost error that err wraps.
func rootCause(err error) string {
	for {
		inner, ok := err.(interface{ Unwrap() error })
		if !ok || inner.Unwrap() == nil {
			return err.Error()
		}
		err = inner.Unwrap()
	}
}
