// Package peer implements remote calls between radishpath processes: length-delimited protobuf messages over yamux
// streams, with one stream per call and many concurrent calls per TCP connection.
//
// # Usage
//
// A process that handles calls runs a Server:
//
//	server := peer.NewServer(peer.ServerConfig{
//		Logger:  logger,
//		Handler: handler,
//		Limiter: limiter,
//	})
//	err := server.Serve(ctx, listener)
//
// A process that makes calls uses one Pool, which keeps a connection per address and redials with exponential backoff:
//
//	pool := peer.NewPool(peer.PoolConfig{
//		Logger: logger,
//		Clock:  clock,
//	})
//	err := pool.Call(ctx, "127.0.0.1:7000", request, reply)
//
// An error that wraps ErrNotSent means that the peer cannot have received the request. After any other error the
// outcome is unknown.
package peer
