//! A request and its response.

use bytes::{Buf, Bytes, BytesMut};
use h3::{
    client::RequestStream,
    error::{Code, StreamError},
};
use http::{HeaderMap, StatusCode};
use wire::ClaimHeader;

use crate::{Result, error::ErrorKind};

/// Whether a request was run, according to the header fields that the system adds
/// to a response of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The response is from an upstream.
    Answered,
    /// The request was not run.
    NotRun,
    /// The request may have been run.
    Unknown,
}

/// A request whose response headers have not arrived.
pub struct PendingRequest {
    stream: RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>,
}

impl PendingRequest {
    pub(crate) fn new(stream: RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>) -> Self {
        PendingRequest { stream }
    }

    /// Sends a chunk of the body.
    ///
    /// # Errors
    ///
    /// The server has stopped reading the body, or the stream failed.
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
    /// The server has stopped reading the body, or the stream failed.
    pub async fn finish(&mut self) -> Result<()> {
        Ok(self.stream.finish().await.map_err(stream_error_kind)?)
    }

    /// Waits for the response headers.
    ///
    /// # Errors
    ///
    /// The request was rejected, or its stream failed; [`Error::category`] tells
    /// which.
    ///
    /// [`Error::category`]: crate::Error::category
    pub async fn response(self) -> Result<Response> {
        Response::receive(self.stream).await
    }

    /// Cancels the request.
    pub fn cancel(mut self) {
        // Dropping the stream stops the response; h3-quinn panics if it is asked
        // to do so while a read is pending.
        self.stream.stop_stream(Code::H3_REQUEST_CANCELLED);
    }
}

/// A response whose headers have arrived.
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
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

    /// Whether the request was run.
    #[must_use]
    pub fn outcome(&self) -> RequestOutcome {
        let field = self.headers.get(ClaimHeader::OUTCOME);
        match field.and_then(|value| value.to_str().ok()) {
            None => RequestOutcome::Answered,
            Some(ClaimHeader::NOT_RUN) => RequestOutcome::NotRun,
            Some(_) => RequestOutcome::Unknown,
        }
    }

    /// Receives the next chunk of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// The stream failed before the end of the response.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>> {
        let chunk = self.stream.recv_data().await.map_err(stream_error_kind)?;
        Ok(chunk.map(|mut buf| buf.copy_to_bytes(buf.remaining())))
    }

    /// Receives the rest of the body.
    ///
    /// # Errors
    ///
    /// The stream failed before the end of the response.
    pub async fn read_body(&mut self) -> Result<Bytes> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }

    /// Cancels the request.
    pub fn cancel(mut self) {
        // Dropping the stream stops the response; h3-quinn panics if it is asked
        // to do so while a read is pending.
        self.stream.stop_stream(Code::H3_REQUEST_CANCELLED);
    }
}

/// Classifies a stream error by whether the request may have been run.
pub(crate) fn stream_error_kind(error: StreamError) -> ErrorKind {
    match error {
        StreamError::RemoteTerminate { code, .. } if code == Code::H3_REQUEST_REJECTED => {
            ErrorKind::Rejected
        }
        // The server is shutting the connection down; the request was not sent.
        StreamError::RemoteClosing { .. } => ErrorKind::Rejected,
        error => ErrorKind::Stream(error),
    }
}
