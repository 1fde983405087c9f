package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"syscall"
)

// The parts of linux/inet_diag.h and linux/tcp.h that are needed here. Numbers are in the machine's byte order, ports
// in that of the network.
const (
	netlinkSockDiag  = 4
	sockDiagByFamily = 20
	diagInfo         = 2
	// established is the bit of the only state that is of interest.
	established = 1 << 1

	requestBytes = 56
	messageBytes = 72
	localPortAt  = 4
	remotePortAt = 6
	inodeAt      = 68

	attributeTypeAt = 2

	infoReceivedAt = 128
	infoSegmentsAt = 152
	infoSentAt     = 200
	infoBytes      = 208
)

var errShortRecord = errors.New("the kernel's record of a socket is too short")

// socket is what TCP has moved over one end of an IPv4 connection.
type socket struct {
	local  uint16
	remote uint16
	// sent includes retransmissions, of which loopback has none.
	sent     uint64
	received uint64
	// segments are received segments with data.
	segments uint64
}

// sockets returns the established IPv4 connections of the machine by their inodes.
func sockets() (map[uint32]socket, error) {
	descriptor, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return nil, fmt.Errorf("open socket diagnosis: %w", err)
	}
	defer func() { _ = syscall.Close(descriptor) }()
	err = syscall.Sendto(descriptor, diagRequest(), 0, &syscall.SockaddrNetlink{
		Family: syscall.AF_NETLINK,
	})
	if err != nil {
		return nil, fmt.Errorf("ask for sockets: %w", err)
	}
	found := map[uint32]socket{}
	const bufferBytes = 256 << 10
	buffer := make([]byte, bufferBytes)
	for {
		n, _, receiveErr := syscall.Recvfrom(descriptor, buffer, 0)
		if receiveErr != nil {
			return nil, fmt.Errorf("receive sockets: %w", receiveErr)
		}
		messages, parseErr := syscall.ParseNetlinkMessage(buffer[:n])
		if parseErr != nil {
			return nil, fmt.Errorf("parse sockets: %w", parseErr)
		}
		for _, message := range messages {
			switch message.Header.Type {
			case syscall.NLMSG_DONE:
				return found, nil
			case syscall.NLMSG_ERROR:
				return nil, errors.New("the kernel refused to list sockets")
			}
			if err = addSocket(found, message.Data); err != nil {
				return nil, err
			}
		}
	}
}

// diagRequest asks for the established IPv4 connections with their TCP information.
func diagRequest() []byte {
	request := make([]byte, 0, syscall.NLMSG_HDRLEN+requestBytes)
	request = binary.NativeEndian.AppendUint32(request, syscall.NLMSG_HDRLEN+requestBytes)
	request = binary.NativeEndian.AppendUint16(request, sockDiagByFamily)
	request = binary.NativeEndian.AppendUint16(request, syscall.NLM_F_REQUEST|syscall.NLM_F_DUMP)
	request = binary.NativeEndian.AppendUint64(request, 0)
	request = append(request, syscall.AF_INET, syscall.IPPROTO_TCP, 1<<(diagInfo-1), 0)
	request = binary.NativeEndian.AppendUint32(request, established)
	return request[:cap(request)]
}

func addSocket(found map[uint32]socket, data []byte) error {
	if len(data) < messageBytes {
		return errShortRecord
	}
	s := socket{
		local:  binary.BigEndian.Uint16(data[localPortAt:]),
		remote: binary.BigEndian.Uint16(data[remotePortAt:]),
	}
	inode := binary.NativeEndian.Uint32(data[inodeAt:])
	for rest := data[messageBytes:]; len(rest) >= syscall.SizeofRtAttr; {
		length := int(binary.NativeEndian.Uint16(rest))
		if length < syscall.SizeofRtAttr || length > len(rest) {
			return errShortRecord
		}
		if binary.NativeEndian.Uint16(rest[attributeTypeAt:]) == diagInfo {
			info := rest[syscall.SizeofRtAttr:length]
			if len(info) < infoBytes {
				return errShortRecord
			}
			s.received = binary.NativeEndian.Uint64(info[infoReceivedAt:])
			s.segments = uint64(binary.NativeEndian.Uint32(info[infoSegmentsAt:]))
			s.sent = binary.NativeEndian.Uint64(info[infoSentAt:])
		}
		rest = rest[min((length+syscall.RTA_ALIGNTO-1)&^(syscall.RTA_ALIGNTO-1), len(rest)):]
	}
	found[inode] = s
	return nil
}
