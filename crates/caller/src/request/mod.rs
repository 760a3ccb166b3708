//! One request of a caller.

use bytes::{Buf, Bytes, BytesMut};
use h3::{
    client::RequestStream,
    error::{Code, StreamError},
};
use http::{HeaderMap, StatusCode};
use wire::ClaimHeader;

use crate::{Result, error::ErrorKind};

/// What the system says of a request without an answer of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// An upstream has answered.
    Answered,
    /// The request was not run.
    NotRun,
    /// The request may have been run.
    Unknown,
}

/// A request whose answer has not come.
pub struct Pending {
    stream: RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>,
}

impl Pending {
    pub(crate) fn new(stream: RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>) -> Self {
        Pending { stream }
    }

    /// Sends a part of the body.
    ///
    /// # Errors
    ///
    /// The server takes no more of the body, or the request broke off.
    pub async fn send(&mut self, part: Bytes) -> Result<()> {
        Ok(self.stream.send_data(part).await.map_err(kind)?)
    }

    /// Ends the body.
    ///
    /// # Errors
    ///
    /// The server takes no more of the body, or the request broke off.
    pub async fn finish(&mut self) -> Result<()> {
        Ok(self.stream.finish().await.map_err(kind)?)
    }

    /// Waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// The request was rejected, or broke off; the category says which.
    pub async fn answer(self) -> Result<Answer> {
        Answer::receive(self.stream).await
    }

    /// Cancels the request.
    pub fn cancel(mut self) {
        // Dropping the stream stops the answer; h3-quinn panics when it is told
        // to while a read is pending.
        self.stream.stop_stream(Code::H3_REQUEST_CANCELLED);
    }
}

/// An answer whose head has come.
pub struct Answer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Header fields of the answer.
    pub headers: HeaderMap,
    stream: RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>,
}

impl Answer {
    pub(crate) async fn receive(
        mut stream: RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>,
    ) -> Result<Self> {
        let (parts, ()) = stream.recv_response().await.map_err(kind)?.into_parts();
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            stream,
        })
    }

    /// What the system says of the request.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        let field = self.headers.get(ClaimHeader::OUTCOME);
        match field.and_then(|value| value.to_str().ok()) {
            None => Outcome::Answered,
            Some(ClaimHeader::NOT_RUN) => Outcome::NotRun,
            Some(_) => Outcome::Unknown,
        }
    }

    /// The next part of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// The answer broke off.
    pub async fn part(&mut self) -> Result<Option<Bytes>> {
        let part = self.stream.recv_data().await.map_err(kind)?;
        Ok(part.map(|mut buf| buf.copy_to_bytes(buf.remaining())))
    }

    /// The rest of the body.
    ///
    /// # Errors
    ///
    /// The answer broke off.
    pub async fn body(&mut self) -> Result<Bytes> {
        let mut body = BytesMut::new();
        while let Some(part) = self.part().await? {
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
    }

    /// Cancels the request.
    pub fn cancel(mut self) {
        // Dropping the stream stops the answer; h3-quinn panics when it is told
        // to while a read is pending.
        self.stream.stop_stream(Code::H3_REQUEST_CANCELLED);
    }
}

pub(crate) fn kind(error: StreamError) -> ErrorKind {
    match error {
        StreamError::RemoteTerminate { code, .. } if code == Code::H3_REQUEST_REJECTED => {
            ErrorKind::Rejected
        }
        // The server goes away; the request was not sent.
        StreamError::RemoteClosing { .. } => ErrorKind::Rejected,
        error => ErrorKind::Stream(error),
    }
}
