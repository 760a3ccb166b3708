//! Body of a response.

use std::{
    collections::VecDeque,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body, Frame};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Body of a response, of which a part may have been read ahead.
#[derive(Debug)]
pub struct ResponseBody {
    chunks: VecDeque<Bytes>,
    incoming: Incoming,
    ended: bool,
}

impl ResponseBody {
    pub(super) fn new(incoming: Incoming) -> Self {
        ResponseBody {
            chunks: VecDeque::new(),
            incoming,
            ended: false,
        }
    }

    /// Reads the body to its end or until at least `limit` bytes are read.
    ///
    /// # Errors
    ///
    /// The body is incomplete.
    pub async fn read_ahead(&mut self, limit: usize) -> hyper::Result<()> {
        let mut len = 0;
        while len < limit && !self.ended {
            match self.incoming.frame().await {
                // Trailers are not forwarded.
                Some(frame) => {
                    if let Ok(data) = frame?.into_data() {
                        len += data.len();
                        self.chunks.push_back(data);
                    }
                }
                None => self.ended = true,
            }
        }
        Ok(())
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        if let Some(chunk) = self.chunks.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        if self.ended {
            return Poll::Ready(None);
        }
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        self.ended = frame.is_none();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.chunks.is_empty() && (self.ended || self.incoming.is_end_stream())
    }
}
