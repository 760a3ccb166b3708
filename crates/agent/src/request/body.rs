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

struct BodyState {
    stream: RecvStream,
    /// First chunk, read ahead to see whether there is a body.
    first_chunk: Option<Bytes>,
    /// Whether a chunk was read by the client connection, so that the body can
    /// no longer be resent.
    consumed: bool,
    ended: bool,
}

/// Body of a caller's request.
///
/// Clones share the stream, so that a request whose connection to an upstream
/// could not be opened keeps its body for the next attempt.
#[derive(Clone)]
pub struct CallerBody {
    state: Rc<RefCell<BodyState>>,
}

impl CallerBody {
    /// Creates a body that reads from `stream`.
    #[must_use]
    pub fn new(stream: RecvStream) -> Self {
        CallerBody {
            state: Rc::new(RefCell::new(BodyState {
                stream,
                first_chunk: None,
                consumed: false,
                ended: false,
            })),
        }
    }

    /// Whether a chunk was read, so that the body can no longer be resent.
    #[must_use]
    pub fn is_consumed(&self) -> bool {
        self.state.borrow().consumed
    }

    /// Waits for the first chunk or the end of the body.
    ///
    /// # Errors
    ///
    /// The caller has reset the stream.
    pub async fn wait_first_chunk(&self) -> Result<(), StreamError> {
        std::future::poll_fn(|cx| self.state.borrow_mut().poll_first_chunk(cx)).await
    }
}

impl BodyState {
    fn poll_first_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamError>> {
        if self.first_chunk.is_none() && !self.ended {
            self.first_chunk = ready!(self.poll_chunk(cx))?;
        }
        Poll::Ready(Ok(()))
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, StreamError>> {
        let chunk = ready!(self.stream.poll_recv_data(cx))?;
        let chunk = chunk.map(|mut buf| buf.copy_to_bytes(buf.remaining()));
        self.ended = chunk.is_none();
        Poll::Ready(Ok(chunk))
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
        let chunk = match state.first_chunk.take() {
            Some(chunk) => Some(chunk),
            None if state.ended => None,
            None => ready!(state.poll_chunk(cx))?,
        };
        state.consumed |= chunk.is_some();
        Poll::Ready(chunk.map(|chunk| Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        let state = self.state.borrow();
        state.ended && state.first_chunk.is_none()
    }
}
