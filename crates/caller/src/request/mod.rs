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
pub enum RequestOutcome {
    /// An upstream has answered.
    Answered,
    /// The request was not run.
    NotRun,
    /// The request may have been run.
    Unknown,
}

/// A request whose answer has not come.
pub struct PendingRequest {
    stream: RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>,
}

impl PendingRequest {
    pub(crate) fn new(stream: RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>) -> Self {
        PendingRequest { stream }
    }

    /// Sends a part of the body.
    ///
    /// # Errors
    ///
    /// The server takes no more of the body, or the request broke off.
    pub async fn send_chunk(&mut self, chunk: Bytes) -> Result<()> {
        Ok(self
            .stream
            .send_data(chunk)
            .await
            .map_err(stream_error_kind)?)
    }

    /// Ends the body.
    ///
    /// # Errors
    ///
    /// The server takes no more of the body, or the request broke off.
    pub async fn finish(&mut self) -> Result<()> {
        Ok(self.stream.finish().await.map_err(stream_error_kind)?)
    }

    /// Waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// The request was rejected, or broke off; the category says which.
    pub async fn response(self) -> Result<Response> {
        Response::receive(self.stream).await
    }

    /// Cancels the request.
    pub fn cancel(mut self) {
        // Dropping the stream stops the answer; h3-quinn panics when it is told
        // to while a read is pending.
        self.stream.stop_stream(Code::H3_REQUEST_CANCELLED);
    }
}

/// An answer whose head has come.
pub struct Response {
    /// Status of the answer.
    pub status: StatusCode,
    /// Header fields of the answer.
    pub headers: HeaderMap,
    stream: RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>,
}

impl Response {
    pub(crate) async fn receive(
        mut stream: RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>,
    ) -> Result<Self> {
        let (parts, ()) = stream
            .recv_response()
            .await
            .map_err(stream_error_kind)?
            .into_parts();
        Ok(Response {
            status: parts.status,
            headers: parts.headers,
            stream,
        })
    }

    /// What the system says of the request.
    #[must_use]
    pub fn outcome(&self) -> RequestOutcome {
        let field = self.headers.get(ClaimHeader::OUTCOME);
        match field.and_then(|value| value.to_str().ok()) {
            None => RequestOutcome::Answered,
            Some(ClaimHeader::NOT_RUN) => RequestOutcome::NotRun,
            Some(_) => RequestOutcome::Unknown,
        }
    }

    /// The next part of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// The answer broke off.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>> {
        let chunk = self.stream.recv_data().await.map_err(stream_error_kind)?;
        Ok(chunk.map(|mut buf| buf.copy_to_bytes(buf.remaining())))
    }

    /// The rest of the body.
    ///
    /// # Errors
    ///
    /// The answer broke off.
    pub async fn read_body(&mut self) -> Result<Bytes> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            body.extend_from_slice(&chunk);
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

pub(crate) fn stream_error_kind(error: StreamError) -> ErrorKind {
    match error {
        StreamError::RemoteTerminate { code, .. } if code == Code::H3_REQUEST_REJECTED => {
            ErrorKind::Rejected
        }
        // The server goes away; the request was not sent.
        StreamError::RemoteClosing { .. } => ErrorKind::Rejected,
        error => ErrorKind::Stream(error),
    }
}
