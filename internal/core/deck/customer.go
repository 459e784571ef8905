package deck

// A CustomerName names a customer, on whose behalf callers send calls.
type CustomerName string

// An APIKey is the secret by which a call shows its customer. It is never written to a log, a metric, an error or a page.
type APIKey string

// redacted stands for a secret where it would be printed.
const redacted = "[redacted]"

// String implements fmt.Stringer.String. It hides the key.
func (APIKey) String() string {
	return redacted
}

// GoString implements fmt.GoStringer.GoString. It hides the key.
func (APIKey) GoString() string {
	return redacted
}

// An AllowanceUnit is what an allowance counts.
type AllowanceUnit int

// The units; the zero value counts calls.
const (
	CountCalls AllowanceUnit = iota
	CountTokens
)

// An Allowance bounds what all VMs together may run for a customer. The zero value sets no bound.
type Allowance struct {
	Unit            AllowanceUnit
	PerSecond       float64 // units a second; 0 sets no bound
	Burst           float64 // units beyond that
	PlainCallTokens float64 // counted for a call that names no tokens, if Unit is CountTokens
}

// Limited reports whether the allowance sets a bound.
func (a Allowance) Limited() bool {
	return a.PerSecond > 0
}

// Cost returns the units that a call counts as.
func (a Allowance) Cost(c Call) float64 {
	switch {
	case a.Unit == CountCalls:
		return 1
	case !c.HasTokenUsage:
		return a.PlainCallTokens
	default:
		return float64(max(0, c.PromptTokens) + max(0, c.MaxTokens))
	}
}

// A Customer is one of those whose callers the system serves.
type Customer struct {
	Name        CustomerName
	Keys        []APIKey
	Priority    int // takes precedence over the route's if HasPriority is set
	HasPriority bool
	Allowance   Allowance
}

// MaxAPIKeyBytes bounds the length of a key.
const MaxAPIKeyBytes = 1 << 10

// IsWellFormed reports whether the key can be sent in a header as it is: it is printable ASCII without spaces, not empty and not too long.
func (k APIKey) IsWellFormed() bool {
	for i := range len(k) {
		if k[i] <= ' ' || k[i] > '~' {
			return false
		}
	}
	return len(k) > 0 && len(k) <= MaxAPIKeyBytes
}
