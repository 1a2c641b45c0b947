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

const maxFile = 1 << 20 // bytes

// readFile hands the fields of a settings file to set, and notes every fault
// instead of ending at the first.
func (s *Set) readFile(r io.Reader, set func(name, value string) error) error {
	text, err := io.ReadAll(io.LimitReader(r, maxFile))
	if err != nil {
		return err
	}
	fields, err := parseFile(text)
	if err != nil {
		s.broken = true
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if s.flags.Lookup(name) == nil {
			s.fault(name, "is no setting")
			continue
		}
		s.given[name] = true
		value, err := scalar(fields[name])
		if err != nil {
			s.fault(name, err.Error())
			continue
		}
		if err := set(name, value); err != nil {
			s.fault(name, cause(err))
		}
	}
	return nil
}

// parseFile returns the fields of an object of JSON with comments.
func parseFile(text []byte) (map[string]json.RawMessage, error) {
	plain, err := hujson.Standardize(text)
	if err != nil {
		return nil, err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(plain, &fields); err != nil {
		return nil, err
	}
	return fields, nil
}

// scalar returns the text of a string, number, truth value or array of strings.
func scalar(raw json.RawMessage) (string, error) {
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
	var truth *bool
	if json.Unmarshal(raw, &truth) == nil && truth != nil {
		return string(raw), nil
	}
	return "", merry.New("must be a string, a number, true, false or an array of strings")
}

// cause returns the text of the innermost error.
func cause(err error) string {
	for {
		inner, ok := err.(interface{ Unwrap() error })
		if !ok || inner.Unwrap() == nil {
			return err.Error()
		}
		err = inner.Unwrap()
	}
}
