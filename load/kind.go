package load

// Kind names what a request is.
type Kind string

// Kinds of requests.
const (
	// KindPipeline is a pipeline request with a whole response.
	KindPipeline Kind = "pipeline"
	// KindStream is a pipeline request with a stream.
	KindStream Kind = "stream"
	// KindLongReport is a long pipeline request with a stream.
	KindLongReport Kind = "report"
	// KindChat is an OpenAI chat completion with a whole response.
	KindChat Kind = "chat"
	// KindChatStream is an OpenAI chat completion with a stream.
	KindChatStream Kind = "chat_stream"
	// KindLookup is a repeatable service operation.
	KindLookup Kind = "lookup"
	// KindBooking is a service operation with an Idempotency-Key.
	KindBooking Kind = "booking"
	// KindRepeat is a KindBooking that is repeated with its key at another entry VM
	// once it was answered.
	KindRepeat Kind = "booking_repeat"
)

func (k Kind) service() bool { return k == KindLookup || k == KindBooking || k == KindRepeat }

func (k Kind) keyed() bool { return k == KindBooking || k == KindRepeat }

func (k Kind) streams() bool { return k == KindStream || k == KindLongReport || k == KindChatStream }

func (k Kind) known() bool {
	switch k {
	case KindPipeline, KindStream, KindLongReport, KindChat, KindChatStream, KindLookup, KindBooking, KindRepeat:
		return true
	default:
		return false
	}
}
