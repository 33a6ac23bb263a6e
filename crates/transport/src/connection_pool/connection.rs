//! One connection of a pool: opening it, checking it before use, and driving the HTTP library on it.

use super::error::describe;
use super::response::PooledResponse;
use super::safety::ReuseSafety;
use super::{ConnectionError, OpenPermit, SendOptions};
use crate::sliced_body::SlicedBody;
use crate::socket::{
    ClientConnection, Readiness, Socket, SocketStream, WakeFlag, wait_for_readiness,
};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use std::future::Future;
use std::net::TcpStream;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, Waker};
use types::{Clock, MonotonicInstant};

/// What the check right before a request's first byte found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SendCheck {
    /// The request may be sent.
    Allowed,
    /// The caller no longer allows it.
    Withheld,
    /// Bytes or an end came on the connection before the request.
    Unclean,
}

/// What a round of [`PooledConnection::wait`] came to.
enum RoundOutcome<T> {
    Done(T),
    PollAgain,
    WaitForSocket,
    Stopped(Readiness),
}

/// An open connection as the HTTP library's client holds it. Dropping it closes it and gives its permit
/// back to the pool.
pub(super) struct PooledConnection {
    pub sender: SendRequest<SlicedBody>,
    driver: Connection<SocketStream, SlicedBody>,
    /// Whether the library is done with the connection, in order or by an error.
    pub is_finished: bool,
    pub socket: Arc<Socket>,
    pub wake_flag: Arc<WakeFlag>,
    waker: Waker,
    /// Why a request that was given to the library was not sent.
    refused_check: Option<SendCheck>,
    pub permit: OpenPermit,
}

impl PooledConnection {
    /// Connects within the permitted time.
    pub(super) fn open(
        permit: OpenPermit,
        options: &SendOptions<'_>,
    ) -> Result<Self, ConnectionError> {
        let left = Clock::now().until(options.head_deadline);
        let timeout = options.connect_timeout.min(left);
        if timeout.0 == 0 {
            return Err(ConnectionError::NotSent("no time to connect".into()));
        }
        let stream = TcpStream::connect_timeout(&permit.address, timeout.duration())
            .map_err(|error| ConnectionError::not_sent(&error))?;
        let socket = Arc::new(Socket::new(stream));
        // Nothing is to be read before a request was sent.
        socket.may_read.store(false, Ordering::Relaxed);
        let wake_flag = Arc::new(WakeFlag::default());
        let waker = Waker::from(wake_flag.clone());
        let stream = SocketStream {
            socket: socket.clone(),
            write_timeout: None,
        };
        let handshake = pin!(Builder::new().handshake(stream));
        match handshake.poll(&mut Context::from_waker(&waker)) {
            Poll::Ready(Ok((sender, driver))) => Ok(PooledConnection {
                sender,
                driver,
                is_finished: false,
                socket,
                wake_flag,
                waker,
                refused_check: None,
                permit,
            }),
            Poll::Ready(Err(error)) => Err(ConnectionError::not_sent(&error)),
            Poll::Pending => Err(ConnectionError::NotSent("no handshake".into())),
        }
    }

    pub(super) fn safety(&self) -> &dyn ReuseSafety {
        &*self.permit.pool.safety
    }

    /// Checks whether a request may be sent and whether the connection is clean, and bounds the time
    /// until the first byte.
    pub(super) fn check_before_send(&self, options: &SendOptions<'_>) -> SendCheck {
        let checked_at = Clock::now();
        if !(options.may_send)() {
            return SendCheck::Withheld;
        }
        if !self.safety().is_clean(self.socket.peek()) {
            return SendCheck::Unclean;
        }
        self.socket
            .set_write_deadline(self.safety().write_deadline(checked_at));
        SendCheck::Allowed
    }

    /// Lets the library do what it can without waiting.
    pub(super) fn drive(&mut self) {
        if !self.is_finished {
            let mut context = Context::from_waker(&self.waker);
            self.is_finished = Pin::new(&mut self.driver).poll(&mut context).is_ready();
        }
    }

    /// Drives the connection and polls an operation on it until the operation is ready or the wait for it
    /// ends. With `options`, a check that has expired before the request's first byte is repeated.
    pub(super) fn wait<T>(
        &mut self,
        deadline: MonotonicInstant,
        client: Option<&ClientConnection>,
        options: Option<&SendOptions<'_>>,
        mut poll_operation: impl FnMut(&mut Context<'_>) -> Poll<T>,
    ) -> Result<T, Readiness> {
        loop {
            match self.run_round(deadline, options, &mut poll_operation) {
                RoundOutcome::Done(outcome) => return Ok(outcome),
                RoundOutcome::Stopped(reason) => return Err(reason),
                RoundOutcome::PollAgain => {}
                RoundOutcome::WaitForSocket => {
                    match wait_for_readiness(&self.socket, client, None, deadline) {
                        Readiness::Ready => {}
                        reason => return Err(reason),
                    }
                }
            }
        }
    }

    fn run_round<T>(
        &mut self,
        deadline: MonotonicInstant,
        options: Option<&SendOptions<'_>>,
        poll_operation: &mut impl FnMut(&mut Context<'_>) -> Poll<T>,
    ) -> RoundOutcome<T> {
        self.drive();
        if let Some(options) = options
            && self.socket.take_expired_check()
        {
            return self.repeat_check(deadline, options);
        }
        let waker = self.waker.clone();
        if let Poll::Ready(outcome) = poll_operation(&mut Context::from_waker(&waker)) {
            return RoundOutcome::Done(outcome);
        }
        if self.wake_flag.take() {
            return RoundOutcome::PollAgain;
        }
        if self.is_finished {
            // Not expected: the library has dropped its end, so each operation on it is ready.
            return RoundOutcome::Stopped(Readiness::Notified);
        }
        RoundOutcome::WaitForSocket
    }

    fn repeat_check<T>(
        &mut self,
        deadline: MonotonicInstant,
        options: &SendOptions<'_>,
    ) -> RoundOutcome<T> {
        match self.check_before_send(options) {
            SendCheck::Allowed if Clock::now() < deadline => RoundOutcome::PollAgain,
            SendCheck::Allowed => RoundOutcome::Stopped(Readiness::TimedOut),
            refused => {
                self.refused_check = Some(refused);
                RoundOutcome::Stopped(Readiness::Notified)
            }
        }
    }

    /// Sends a request and waits for the response's head. The connection is closed if none comes.
    pub(super) fn send(
        mut self: Box<Self>,
        request: http::Request<Bytes>,
        options: &SendOptions<'_>,
        is_reused: bool,
    ) -> Result<PooledResponse, ConnectionError> {
        let sent_before = self.socket.sent_count.load(Ordering::Relaxed);
        let is_head_request = request.method() == http::Method::HEAD;
        let mut response = pin!(self.sender.send_request(request.map(SlicedBody::new)));
        let outcome = self.wait(
            options.head_deadline,
            options.client,
            Some(options),
            |context| response.as_mut().poll(context),
        );
        let has_sent_bytes = self.socket.sent_count.load(Ordering::Relaxed) > sent_before;
        let is_sent = self.safety().counts_as_sent(has_sent_bytes, is_reused);
        match outcome {
            Ok(Ok(response)) => Ok(PooledResponse::new(
                response,
                self,
                is_reused,
                is_head_request,
            )),
            outcome => Err(self.send_error(outcome, is_sent)),
        }
    }

    /// Why a request got no head.
    fn send_error(
        &self,
        outcome: Result<Result<http::Response<Incoming>, hyper::Error>, Readiness>,
        is_sent: bool,
    ) -> ConnectionError {
        let is_withheld = self.refused_check == Some(SendCheck::Withheld);
        let reason = match outcome {
            Ok(Err(error)) => describe(&error),
            Err(Readiness::TimedOut) if is_sent => {
                return ConnectionError::TimedOut("no head by its deadline".into());
            }
            Err(Readiness::TimedOut) => "no head by its deadline".into(),
            Err(_) if is_withheld && !is_sent => return ConnectionError::Withheld,
            Err(Readiness::ClientDisconnected) if is_sent => {
                return ConnectionError::ClientDisconnected;
            }
            Err(Readiness::ClientDisconnected) => "the client has gone".into(),
            Err(Readiness::Ready | Readiness::Notified) | Ok(Ok(_)) => {
                "the connection ended".into()
            }
        };
        if is_sent {
            ConnectionError::OutcomeUnknown(reason)
        } else {
            ConnectionError::NotSent(reason)
        }
    }
}
