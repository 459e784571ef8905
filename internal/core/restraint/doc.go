// Package restraint keeps what backend servers say about the requests that they take: none any more, none for a while, or so many a
// second from all VMs together. Both serving paths ask it before they send a request. The leader of the replicated log divides limits
// among the VMs that ask for permits.
package restraint
