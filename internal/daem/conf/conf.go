package conf

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
	"github.com/peterbourgon/ff/v3"
)

// EnvPrefix is the prefix of the names of environment variables: GYP_LISTEN is the
// variable for the setting listen.
const EnvPrefix = "GYP"

// ErrFaults means that at least one setting is missing or invalid.
var ErrFaults = merry.Sentinel("invalid settings")

// Fault is an error in the settings.
type Fault struct {
	Field string // name of the setting
	Text  string // description of the error
}

// String returns the fault as one line.
func (f Fault) String() string { return f.Field + ": " + f.Text }

// Set is the set of a program's settings. Create it with New, declare the settings
// with the methods that take a pointer, and then call Parse, which stores the values
// through the pointers.
type Set struct {
	flags     *flag.FlagSet
	checkOnly bool
	faults    []Fault
	required  []string        // names of settings that must be given
	given     map[string]bool // names of the required settings for which a value was found, and of some others
	malformed bool            // the file could not be parsed
}

// New returns a set for the named program that declares only the flags -config and
// -check. The usage message is written to out.
func New(program string, out io.Writer) *Set {
	s := &Set{flags: flag.NewFlagSet(program, flag.ContinueOnError), given: map[string]bool{}}
	s.flags.SetOutput(out)
	s.flags.String("config", "", "settings `file`, JSON with comments")
	s.flags.BoolVar(&s.checkOnly, "check", false, "check the settings, print every fault, and exit")
	return s
}

// Name declares a setting that is a name of 1 to 48 characters of a-z, 0-9 and -. An
// empty default makes the setting required.
func (s *Set) Name(p *string, name, def, usage string) {
	s.declareText(p, name, def, usage, func(text string) error {
		if !jobkey.ValidName(text) {
			return merry.New("must be 1 to 48 of a-z, 0-9 and -")
		}
		return nil
	})
}

// Addr declares a required setting that is an IP address and port.
func (s *Set) Addr(p *string, name, usage string) {
	s.declareText(p, name, "", usage, checkAddr)
}

// OptionalAddr declares an optional setting that is an IP address and port. If it is
// missing, *p is not changed.
func (s *Set) OptionalAddr(p *string, name, usage string) {
	s.flags.Func(name, usage, func(text string) error {
		if err := checkAddr(text); err != nil {
			return err
		}
		*p = text
		return nil
	})
}

// Addrs declares a setting that is a list of IP addresses and ports. The list is
// separated by commas in flags and variables, and an array in the file. Unless
// optional is true, the setting is required.
func (s *Set) Addrs(p *[]string, name string, optional bool, usage string) {
	if !optional {
		s.required = append(s.required, name)
	}
	s.flags.Func(name, usage, func(text string) error {
		s.given[name] = true
		*p = nil
		for part := range strings.SplitSeq(text, ",") {
			if err := checkAddr(part); err != nil {
				return err
			}
			*p = append(*p, part)
		}
		return nil
	})
}

// Int declares a setting that is a whole number from lo to hi, both included.
func (s *Set) Int(p *int, name string, def, lo, hi int, usage string) {
	*p = def
	usage = fmt.Sprintf("%s, %d to %d (default %d)", usage, lo, hi, def)
	s.flags.Func(name, usage, func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil {
			return merry.Errorf("must be a whole number, not %q", text)
		}
		if n < lo || n > hi {
			return merry.Errorf("must be %d to %d, not %d", lo, hi, n)
		}
		*p = n
		return nil
	})
}

// Millis declares a setting that is a duration in whole milliseconds from lo to hi,
// both included.
func (s *Set) Millis(p *time.Duration, name string, def, lo, hi time.Duration, usage string) {
	*p = def
	usage = fmt.Sprintf("%s, ms, %d to %d (default %d)", usage, lo.Milliseconds(), hi.Milliseconds(), def.Milliseconds())
	s.flags.Func(name, usage, func(text string) error {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return merry.Errorf("must be a whole number of ms, not %q", text)
		}
		d := time.Duration(ms) * time.Millisecond
		if d < lo || d > hi {
			return merry.Errorf("must be %d to %d ms, not %d", lo.Milliseconds(), hi.Milliseconds(), ms)
		}
		*p = d
		return nil
	})
}

// Parse reads args, the environment and the file named by -config. It returns
// ErrFaults if a setting is missing or invalid; Faults then returns the reasons.
func (s *Set) Parse(args []string) error {
	err := ff.Parse(s.flags, args,
		ff.WithEnvVarPrefix(EnvPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(s.readFile),
	)
	if err != nil {
		s.addFault("settings", err.Error())
	}
	for _, name := range s.required {
		if !s.given[name] && !s.malformed {
			s.addFault(name, "is missing")
		}
	}
	if len(s.faults) > 0 {
		return ErrFaults
	}
	return nil
}

// CheckOnly reports whether -check was given.
func (s *Set) CheckOnly() bool { return s.checkOnly }

// Faults returns the faults that Parse found.
func (s *Set) Faults() []Fault { return s.faults }

// Args returns the arguments that follow the flags.
func (s *Set) Args() []string { return s.flags.Args() }

// declareText declares a setting that is a text for which check returns nil. An empty
// default makes the setting required.
func (s *Set) declareText(p *string, name, def, usage string, check func(string) error) {
	*p = def
	if def == "" {
		s.required = append(s.required, name)
	} else {
		usage += " (default " + def + ")"
	}
	s.flags.Func(name, usage, func(text string) error {
		s.given[name] = true
		if err := check(text); err != nil {
			return err
		}
		*p = text
		return nil
	})
}

// addFault records a fault of the named setting.
func (s *Set) addFault(field, text string) {
	s.faults = append(s.faults, Fault{Field: field, Text: text})
}

// checkAddr returns an error unless text is an IP address and a port other than 0.
func checkAddr(text string) error {
	addr, err := netip.ParseAddrPort(text)
	if err != nil || addr.Port() == 0 {
		return merry.Errorf("must be an IP address and port, not %q", text)
	}
	return nil
}
