package linker

import (
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// Size limits of frames and messages.
const (
	// MaxFrameBytes is the maximum size of a frame.
	MaxFrameBytes = 1 << 20
	// MaxMessageBytes is the maximum size of a message. A message larger than a frame is sent in parts.
	MaxMessageBytes = 16 << 20
	// MaxElements is the maximum number of elements in an array.
	MaxElements = 4096

	// partBytes is the payload size of a part. The rest of the frame is left for the encoding around it.
	partBytes = 512 << 10
	// maxMapPairs exceeds the number of fields of every message.
	maxMapPairs = 32
	// maxNesting exceeds the nesting depth of a sync response, the most deeply nested message.
	maxNesting = 8
	// maxTextBytes bounds names, keys and other short texts.
	maxTextBytes = 256
	// maxBodyBytes bounds the body of a delegated job; platforms allow a few kilobytes.
	maxBodyBytes = 64 << 10
	// maxDetailBytes bounds the detail text of an outcome.
	maxDetailBytes = 4096
	// pairHeader is the CBOR header of a two-element array.
	pairHeader = 0x82
)

var (
	encoding = newEncoding()
	decoding = newDecoding()
)

func newEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(eris.Wrap(err, "preparing the CBOR encoder"))
	}
	return mode
}

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  MaxElements,
		MaxMapPairs:       maxMapPairs,
	}.DecMode()
	if err != nil {
		panic(eris.Wrap(err, "preparing the CBOR decoder"))
	}
	return mode
}

// encode returns message as a CBOR array of its name and its body.
func encode(message Message) ([]byte, error) {
	var content any = message
	if message, ok := message.(KeeperMessage); ok {
		content = message.Message
	}
	body, err := encoding.Marshal(content)
	if err != nil {
		return nil, eris.Wrap(err, "encoding a message")
	}
	if len(body) > MaxMessageBytes {
		return nil, eris.Errorf("message has %d bytes, maximum is %d", len(body), MaxMessageBytes)
	}
	name, err := encoding.Marshal(messageName(message))
	if err != nil {
		return nil, eris.Wrap(err, "encoding a message name")
	}
	encoded := make([]byte, 0, 1+len(name)+len(body))
	encoded = append(encoded, pairHeader)
	encoded = append(encoded, name...)
	return append(encoded, body...), nil
}

// decode returns the first message in data and the remaining data.
func decode(data []byte) (Message, []byte, error) {
	if len(data) == 0 || data[0] != pairHeader {
		return nil, nil, eris.New("message is not a pair of name and body")
	}
	var name string
	rest, err := decoding.UnmarshalFirst(data[1:], &name)
	if err != nil {
		return nil, nil, eris.Wrap(err, "decoding a message name")
	}
	message, rest, err := decodeBody(name, rest)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "decoding message %.40q", name)
	}
	return message, rest, nil
}

func decodeAs[M Message](data []byte) (Message, []byte, error) {
	var message M
	rest, err := decoding.UnmarshalFirst(data, &message)
	if err != nil {
		return nil, nil, err
	}
	return message, rest, checkLengths(message)
}

func decodeBody(name string, data []byte) (Message, []byte, error) {
	switch name {
	case "hello":
		return decodeAs[Hello](data)
	case "heartbeat":
		return decodeAs[Heartbeat](data)
	case "forward":
		return decodeAs[Forward](data)
	case "forward-answer":
		return decodeAs[ForwardAnswer](data)
	case "lookup":
		return decodeAs[Lookup](data)
	case "lookup-answer":
		return decodeAs[LookupAnswer](data)
	case "cancel":
		return decodeAs[Cancel](data)
	case "cancel-answer":
		return decodeAs[CancelAnswer](data)
	case "bundle-request":
		return decodeAs[BundleRequest](data)
	case "bundle-response":
		return decodeAs[BundleResponse](data)
	case "news":
		return decodeAs[StateUpdate](data)
	case "delegation":
		return decodeAs[Delegation](data)
	case "delegation-answer":
		return decodeAs[DelegationAnswer](data)
	case "part":
		return decodeAs[part](data)
	default:
		return decodeKeeperBody(name, data)
	}
}

func messageName(message Message) string {
	switch message := message.(type) {
	case Hello:
		return "hello"
	case Heartbeat:
		return "heartbeat"
	case Forward:
		return "forward"
	case ForwardAnswer:
		return "forward-answer"
	case Lookup:
		return "lookup"
	case LookupAnswer:
		return "lookup-answer"
	case Cancel:
		return "cancel"
	case CancelAnswer:
		return "cancel-answer"
	case BundleRequest:
		return "bundle-request"
	case BundleResponse:
		return "bundle-response"
	case StateUpdate:
		return "news"
	case Delegation:
		return "delegation"
	case DelegationAnswer:
		return "delegation-answer"
	case part:
		return "part"
	case KeeperMessage:
		return keeperMessageName(message.Message)
	default:
		panic(eris.Errorf("message type %T has no name", message))
	}
}

// decodeHello decodes the first frame. It ignores unknown fields, so that the version in the hello of a newer instance
// can be read.
func decodeHello(frame []byte) (Hello, error) {
	if len(frame) == 0 || frame[0] != pairHeader {
		return Hello{}, eris.New("first frame is not a message")
	}
	var name string
	rest, err := decoding.UnmarshalFirst(frame[1:], &name)
	if err != nil || name != "hello" {
		return Hello{}, eris.New("first frame is not a hello")
	}
	var hello Hello
	if err := cbor.Unmarshal(rest, &hello); err != nil {
		return Hello{}, eris.Wrap(err, "decoding a hello")
	}
	return hello, checkLengths(hello)
}

// checkLengths returns an error if a text or a list exceeds the limits of the protocol. Receivers check each message that they have decoded,
// and senders each message before they send it. The decoder limits arrays and frames.
func checkLengths(message Message) error {
	switch message := message.(type) {
	case Hello:
		return checkTexts(message.Domain, message.Name, message.Incarnation, message.Address)
	case KeeperMessage:
		return checkKeeperMessage(message.Message)
	case Heartbeat:
		return checkTexts(message.Suspects...)
	case Forward:
		if len(message.Tasks) > dispatcher.MaxTasks {
			return eris.Errorf("forward has too many tasks: %d", len(message.Tasks))
		}
		return checkTexts(message.Key, message.Kind, message.Team, message.TraceParent, message.Origin)
	case ForwardAnswer:
		return checkOutcome(message.Key, &message.Outcome)
	case BundleRequest:
		return checkTexts(message.Stream)
	case LookupAnswer:
		return checkOutcome(message.Key, message.Outcome)
	case Lookup:
		return checkTexts(message.Key)
	case Cancel:
		return checkTexts(message.Key)
	case CancelAnswer:
		return checkTexts(message.Key, message.Result)
	case StateUpdate:
		return checkStateUpdate(&message)
	case Delegation:
		return checkDelegation(&message)
	case DelegationAnswer:
		return checkOutcome(message.Job, &message.Outcome)
	}
	return nil
}

func checkDelegation(delegation *Delegation) error {
	if len(delegation.Body) > maxBodyBytes {
		return eris.Errorf("delegated job has too long a body: %d bytes", len(delegation.Body))
	}
	if !utf8.ValidString(delegation.Body) {
		return eris.New("delegated job has a body that is not valid UTF-8")
	}
	if len(delegation.Steps) > dispatcher.MaxTasks {
		return eris.Errorf("delegated job has too many steps: %d", len(delegation.Steps))
	}
	texts := []string{delegation.Job, delegation.Route, delegation.Service}
	for i := range delegation.Steps {
		step := &delegation.Steps[i]
		if len(step.Tasks) > MaxElements || len(step.DependsOn) > MaxElements {
			return eris.Errorf("step %d of a delegated job has %d tasks and %d dependencies, maximum is %d", i, len(step.Tasks), len(step.DependsOn), MaxElements)
		}
		for _, earlier := range step.DependsOn {
			if earlier < 0 || earlier >= i {
				return eris.Errorf("step %d of a delegated job depends on step %d, which is not an earlier step", i, earlier)
			}
		}
		texts = append(append(texts, step.Label), step.Tasks...)
	}
	return checkTexts(texts...)
}

func checkOutcome(key string, outcome *Outcome) error {
	if outcome == nil {
		return checkTexts(key)
	}
	if len(outcome.Results) > dispatcher.MaxTasks || len(outcome.Fates) > dispatcher.MaxTasks {
		return eris.New("outcome has too many tasks")
	}
	if len(outcome.Detail) > maxDetailBytes {
		return eris.Errorf("outcome detail is too long: %d bytes", len(outcome.Detail))
	}
	return checkTexts(key, outcome.Class, outcome.Reason, outcome.Field)
}

// OptionalText returns a text that may be left out of a message, or the empty text if receivers would refuse it.
func OptionalText(text string) string {
	if checkTexts(text) != nil {
		return ""
	}
	return text
}

func checkTexts(texts ...string) error {
	for _, text := range texts {
		if len(text) > maxTextBytes {
			return eris.Errorf("text has %d bytes, maximum is %d", len(text), maxTextBytes)
		}
		if !utf8.ValidString(text) {
			return eris.New("text is not valid UTF-8")
		}
	}
	return nil
}
