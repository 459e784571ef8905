package routing

import "encoding/json"

// An Attachment is data that the replicated log keeps beside the document: what a leader needs to know after a restart of all VMs.
type Attachment struct {
	Revision uint64
	Data     []byte
}

// An attachmentJSON is the JSON form of an attachment, as a log entry of its own or as a part of a snapshot.
type attachmentJSON struct {
	AttachmentRevision uint64 `json:"attachment-revision,omitempty"`
	Attachment         []byte `json:"attachment,omitempty"`
}

// errStaleAttachment is the result of a command with an attachment that is not newer than the current one.
const errStaleAttachment = "the log has an attachment with the same or a higher revision"

// Attachment returns the newest attachment; its revision is 0 if there is none.
func (m *Machine) Attachment() Attachment {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.attachment
}

// EncodeAttachment returns the attachment in the form of a log entry. A VM whose version doesn't know attachments skips it.
func EncodeAttachment(a Attachment) ([]byte, error) {
	return json.Marshal(attachmentJSON{a.Revision, a.Data})
}

// decodeAttachment returns the attachment of a command or snapshot; ok is false if it has none.
func decodeAttachment(data []byte) (a Attachment, ok bool) {
	var w attachmentJSON
	if err := json.Unmarshal(data, &w); err != nil || w.AttachmentRevision == 0 {
		return Attachment{}, false
	}
	return Attachment{w.AttachmentRevision, w.Attachment}, true
}

// attach installs the attachment if it is newer than the current one. Its result is that of the command.
func (m *Machine) attach(a Attachment) []byte {
	m.mu.Lock()
	newer := a.Revision > m.attachment.Revision
	if newer {
		m.attachment = a
	}
	m.mu.Unlock()
	if !newer {
		return []byte(errStaleAttachment)
	}
	if m.OnAttachment != nil {
		m.OnAttachment(a)
	}
	return nil
}
