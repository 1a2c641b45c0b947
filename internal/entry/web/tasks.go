package web

import (
	"bytes"
	"encoding/json"

	"github.com/gypsumlanding/gypsumlanding/internal/core/catlg"
)

// commasForCheck is the number of commas in a list of tasks from which on its elements are counted
// before they are kept. A list of that many short elements costs many times its length.
const commasForCheck = 10_000

// taskList is the list of the tasks of a job. Of a list that is too long for any job, it has one
// element more than is permitted.
type taskList []json.RawMessage

// UnmarshalJSON reads the list.
func (l *taskList) UnmarshalJSON(text []byte) error {
	if bytes.Count(text, []byte(",")) < commasForCheck {
		return json.Unmarshal(text, (*[]json.RawMessage)(l))
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	if first, err := dec.Token(); err != nil || first != json.Delim('[') {
		return json.Unmarshal(text, (*[]json.RawMessage)(l))
	}
	*l = nil
	for dec.More() && len(*l) <= catlg.MaxTasks {
		var task json.RawMessage
		if err := dec.Decode(&task); err != nil {
			return err
		}
		*l = append(*l, task)
	}
	return nil
}
