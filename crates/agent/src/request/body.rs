//! Body of a caller's request.

use std::{
    cell::RefCell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::{Buf, Bytes};
use h3::{error::StreamError, server::RequestStream};
use http_body::Frame;

use crate::connection;

/// Receiving half of a caller's stream.
pub type RecvStream = RequestStream<connection::RecvStream, Bytes>;

struct State {
    stream: RecvStream,
    /// First part, read ahead to see whether there is a body.
    ahead: Option<Bytes>,
    /// Whether a part has gone on, so that the body cannot be sent again.
    started: bool,
    ended: bool,
}

/// Body of a caller's request.
///
/// Clones share the stream, so that a request whose connection to an upstream
/// could not be opened still has its body for the next attempt.
#[derive(Clone)]
pub struct CallerBody {
    state: Rc<RefCell<State>>,
}

impl CallerBody {
    /// The body that comes in on `stream`.
    #[must_use]
    pub fn new(stream: RecvStream) -> Self {
        CallerBody {
            state: Rc::new(RefCell::new(State {
                stream,
                ahead: None,
                started: false,
                ended: false,
            })),
        }
    }

    /// Whether a part has gone on.
    #[must_use]
    pub fn started(&self) -> bool {
        self.state.borrow().started
    }

    /// Waits for the first part or the end.
    ///
    /// # Errors
    ///
    /// The caller has reset the stream.
    pub async fn read_ahead(&self) -> Result<(), StreamError> {
        std::future::poll_fn(|cx| self.state.borrow_mut().poll_ahead(cx)).await
    }
}

impl State {
    fn poll_ahead(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamError>> {
        if self.ahead.is_none() && !self.ended {
            self.ahead = ready!(self.poll_part(cx))?;
        }
        Poll::Ready(Ok(()))
    }

    fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, StreamError>> {
        let part = ready!(self.stream.poll_recv_data(cx))?;
        let part = part.map(|mut buf| buf.copy_to_bytes(buf.remaining()));
        self.ended = part.is_none();
        Poll::Ready(Ok(part))
    }
}

impl http_body::Body for CallerBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        let mut state = self.state.borrow_mut();
        let part = match state.ahead.take() {
            Some(part) => Some(part),
            None if state.ended => None,
            None => ready!(state.poll_part(cx))?,
        };
        state.started |= part.is_some();
        Poll::Ready(part.map(|part| Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        let state = self.state.borrow();
        state.ended && state.ahead.is_none()
    }
}
