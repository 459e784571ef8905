package origin

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const maxQuestions = 256 // in one message, and in the queue for a VM that doesn't answer

// A question asks for the origin of a stream.
type question struct {
	stream  deck.StreamKey
	replies chan reply // has room for the replies of all VMs
}

// A reply is the answer of one VM; it is not ok if the VM hasn't answered.
type reply struct {
	answer deck.OriginAnswer
	ok     bool
}

// An asker passes questions on to one control VM, all those that are queued in one message: after the loss of an entry VM many callers
// resume at once.
type asker struct {
	client deck.OriginClient
	vm     deck.VMName
	wake   chan struct{}
	cancel context.CancelFunc

	mu    sync.Mutex
	queue []question
}

func newAsker(client deck.OriginClient, vm deck.VMName) *asker {
	return &asker{client: client, vm: vm, wake: make(chan struct{}, 1)}
}

func (a *asker) start(ctx context.Context, g *errgroup.Group) {
	ctx, a.cancel = context.WithCancel(ctx)
	g.Go(func() error {
		a.run(ctx)
		return nil
	})
}

func (a *asker) stop() {
	a.cancel()
}

// enqueue adds a question. While too many are queued, it is replied to at once that the VM doesn't answer.
func (a *asker) enqueue(q question) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queue) >= maxQuestions {
		q.replies <- reply{}
		return
	}
	a.queue = append(a.queue, q)
	notify(a.wake)
}

func (a *asker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			a.reply(a.take(), nil)
			return
		case <-a.wake:
		}
		questions := a.take()
		a.reply(questions, a.ask(ctx, questions))
	}
}

func (a *asker) take() []question {
	a.mu.Lock()
	defer a.mu.Unlock()
	questions := a.queue
	a.queue = nil
	return questions
}

// ask returns the VM's answers to the questions, or nil.
func (a *asker) ask(ctx context.Context, questions []question) []deck.OriginAnswer {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	streams := make([]deck.StreamKey, 0, len(questions))
	for _, q := range questions {
		streams = append(streams, q.stream)
	}
	answers, err := a.client.AskOrigins(ctx, a.vm, streams)
	if err != nil || len(answers) != len(questions) {
		return nil
	}
	return answers
}

// reply replies to the questions; without answers it replies that the VM doesn't answer.
func (a *asker) reply(questions []question, answers []deck.OriginAnswer) {
	for i, q := range questions {
		if answers == nil {
			q.replies <- reply{}
			continue
		}
		q.replies <- reply{answer: answers[i], ok: true}
	}
}
