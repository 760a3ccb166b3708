//! Implementation of h3's QUIC traits on top of quinn.
//!
//! h3-quinn implements the same traits, but does not expose when a caller stops
//! a response or has acknowledged all of it. The agent needs both: the first
//! cancels the request at the upstream, and a connection may be closed only
//! after the second.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    future::Future,
    io,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::{Buf, Bytes};
use h3::{
    error::Code,
    quic::{
        self, ConnectionErrorIncoming, RecvStream as _, SendStream as _, StreamErrorIncoming,
        StreamId, WriteBuf,
    },
};
use quinn::{ConnectionError, ReadError, StoppedError, VarInt, WriteError};
use tokio::{
    sync::mpsc,
    task::{JoinHandle, JoinSet},
};

type BidiStreams = (quinn::SendStream, quinn::RecvStream);

/// A QUIC connection that tracks the completion of its response streams.
pub struct H3Connection {
    opener: StreamOpener,
    bidi: mpsc::Receiver<BidiStreams>,
    uni: mpsc::Receiver<quinn::RecvStream>,
    completions: StreamCompletions,
    /// Tasks that accept streams.
    _tasks: JoinSet<()>,
}

impl H3Connection {
    /// Accepts the streams of `connection` and registers their completions in
    /// `completions`.
    #[must_use]
    pub fn new(connection: &quinn::Connection, completions: StreamCompletions) -> Self {
        let mut tasks = JoinSet::new();
        // Each channel queues one stream; QUIC's stream limits bound the others.
        let (bidi_tx, bidi) = mpsc::channel(1);
        let (uni_tx, uni) = mpsc::channel(1);
        let accepting = connection.clone();
        tasks.spawn_local(async move {
            while let Ok(stream) = accepting.accept_bi().await {
                if bidi_tx.send(stream).await.is_err() {
                    return;
                }
            }
        });
        let accepting = connection.clone();
        tasks.spawn_local(async move {
            while let Ok(stream) = accepting.accept_uni().await {
                if uni_tx.send(stream).await.is_err() {
                    return;
                }
            }
        });
        H3Connection {
            opener: StreamOpener::new(connection.clone()),
            bidi,
            uni,
            completions,
            _tasks: tasks,
        }
    }

    fn close_reason(&self) -> ConnectionErrorIncoming {
        let reason = self.opener.connection.close_reason();
        connection_error(reason.unwrap_or(ConnectionError::LocallyClosed))
    }
}

impl<B: Buf> quic::Connection<B> for H3Connection {
    type RecvStream = RecvStream;
    type OpenStreams = StreamOpener;

    fn poll_accept_recv(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<RecvStream, ConnectionErrorIncoming>> {
        let stream = ready!(self.uni.poll_recv(cx)).ok_or_else(|| self.close_reason())?;
        Poll::Ready(Ok(RecvStream(stream)))
    }

    fn poll_accept_bidi(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<BidiStream<B>, ConnectionErrorIncoming>> {
        let (send, recv) = ready!(self.bidi.poll_recv(cx)).ok_or_else(|| self.close_reason())?;
        let send = SendStream::new(send);
        self.completions.track(&send);
        let recv = RecvStream(recv);
        Poll::Ready(Ok(BidiStream { send, recv }))
    }

    fn opener(&self) -> StreamOpener {
        StreamOpener::new(self.opener.connection.clone())
    }
}

impl<B: Buf> quic::OpenStreams<B> for H3Connection {
    type BidiStream = BidiStream<B>;
    type SendStream = SendStream<B>;

    fn poll_open_bidi(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<BidiStream<B>, StreamErrorIncoming>> {
        self.opener.poll_open_bidi(cx)
    }

    fn poll_open_send(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<SendStream<B>, StreamErrorIncoming>> {
        self.opener.poll_open_send(cx)
    }

    fn close(&mut self, code: Code, reason: &[u8]) {
        quic::OpenStreams::<B>::close(&mut self.opener, code, reason);
    }
}

/// Opens unidirectional streams to the caller.
pub struct StreamOpener {
    connection: quinn::Connection,
    opening: Option<JoinHandle<Result<quinn::SendStream, ConnectionError>>>,
}

impl StreamOpener {
    fn new(connection: quinn::Connection) -> Self {
        StreamOpener {
            connection,
            opening: None,
        }
    }
}

impl<B: Buf> quic::OpenStreams<B> for StreamOpener {
    type BidiStream = BidiStream<B>;
    type SendStream = SendStream<B>;

    /// Always fails: an HTTP/3 server opens no request streams (RFC 9114,
    /// section 6.1).
    fn poll_open_bidi(
        &mut self,
        _: &mut Context<'_>,
    ) -> Poll<Result<BidiStream<B>, StreamErrorIncoming>> {
        Poll::Ready(Err(unknown(io::ErrorKind::Unsupported.into())))
    }

    fn poll_open_send(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<SendStream<B>, StreamErrorIncoming>> {
        let connection = &self.connection;
        let opening = self.opening.get_or_insert_with(|| {
            let connection = connection.clone();
            actix_rt::spawn(async move { connection.open_uni().await })
        });
        let opened = ready!(Pin::new(opening).poll(cx));
        self.opening = None;
        Poll::Ready(match opened {
            Ok(Ok(stream)) => Ok(SendStream::new(stream)),
            Ok(Err(e)) => Err(connection_lost(e)),
            Err(e) => Err(unknown(io::Error::other(e))),
        })
    }

    fn close(&mut self, code: Code, reason: &[u8]) {
        self.connection.close(var_int(code.value()), reason);
    }
}

/// Both directions of a request's stream.
pub struct BidiStream<B: Buf> {
    send: SendStream<B>,
    recv: RecvStream,
}

impl<B: Buf> quic::BidiStream<B> for BidiStream<B> {
    type SendStream = SendStream<B>;
    type RecvStream = RecvStream;

    fn split(self) -> (SendStream<B>, RecvStream) {
        (self.send, self.recv)
    }
}

impl<B: Buf> quic::SendStream<B> for BidiStream<B> {
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.send.poll_ready(cx)
    }

    fn send_data<T: Into<WriteBuf<B>>>(&mut self, data: T) -> Result<(), StreamErrorIncoming> {
        self.send.send_data(data)
    }

    fn poll_finish(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.send.poll_finish(cx)
    }

    fn reset(&mut self, code: u64) {
        self.send.reset(code);
    }

    fn send_id(&self) -> StreamId {
        self.send.send_id()
    }
}

impl<B: Buf> quic::RecvStream for BidiStream<B> {
    type Buf = Bytes;

    fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, StreamErrorIncoming>> {
        self.recv.poll_data(cx)
    }

    fn stop_sending(&mut self, code: u64) {
        self.recv.stop_sending(code);
    }

    fn recv_id(&self) -> StreamId {
        self.recv.recv_id()
    }
}

/// Sending half of a stream, towards the caller.
pub struct SendStream<B: Buf> {
    stream: quinn::SendStream,
    pending_write: Option<WriteBuf<B>>,
    /// Whether the stream was finished without a reset.
    finished: bool,
}

impl<B: Buf> SendStream<B> {
    fn new(stream: quinn::SendStream) -> Self {
        SendStream {
            stream,
            pending_write: None,
            finished: false,
        }
    }
}

impl<B: Buf> quic::SendStream<B> for SendStream<B> {
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        while let Some(data) = self
            .pending_write
            .as_mut()
            .filter(|data| Buf::has_remaining(*data))
        {
            let stream = Pin::new(&mut self.stream);
            let written = ready!(stream.poll_write(cx, data.chunk())).map_err(write_error)?;
            data.advance(written);
        }
        self.pending_write = None;
        Poll::Ready(Ok(()))
    }

    fn send_data<T: Into<WriteBuf<B>>>(&mut self, data: T) -> Result<(), StreamErrorIncoming> {
        if self.pending_write.is_some() {
            return Err(unknown(io::ErrorKind::ResourceBusy.into()));
        }
        self.pending_write = Some(data.into());
        Ok(())
    }

    fn poll_finish(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        ready!(self.poll_ready(cx))?;
        self.finished = true;
        let finished = self.stream.finish();
        Poll::Ready(finished.map_err(|e| unknown(io::Error::other(e))))
    }

    fn reset(&mut self, code: u64) {
        // Fails if the stream is already closed.
        let _ = self.stream.reset(var_int(code));
    }

    fn send_id(&self) -> StreamId {
        stream_id(self.stream.id())
    }
}

/// Resets an unfinished stream. quinn finishes a dropped stream, which would
/// make a truncated response look complete.
impl<B: Buf> Drop for SendStream<B> {
    fn drop(&mut self) {
        if !self.finished {
            self.reset(Code::H3_INTERNAL_ERROR.value());
        }
    }
}

/// Receiving half of a stream, from the caller.
pub struct RecvStream(quinn::RecvStream);

impl quic::RecvStream for RecvStream {
    type Buf = Bytes;

    fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, StreamErrorIncoming>> {
        // `read_chunk` keeps no state between polls, so the future can be recreated.
        let chunk = ready!(pin!(self.0.read_chunk(usize::MAX, true)).poll(cx));
        Poll::Ready(match chunk {
            Ok(chunk) => Ok(chunk.map(|chunk| chunk.bytes)),
            Err(ReadError::Reset(code)) => Err(terminated(code)),
            Err(ReadError::ConnectionLost(e)) => Err(connection_lost(e)),
            Err(e) => Err(unknown(io::Error::other(e))),
        })
    }

    fn stop_sending(&mut self, code: u64) {
        // Fails if the stream is already closed.
        let _ = self.0.stop(var_int(code));
    }

    fn recv_id(&self) -> StreamId {
        stream_id(self.0.id())
    }
}

/// Stops the caller without an error if it still sends after the response is
/// complete (RFC 9114, section 4.1).
impl Drop for RecvStream {
    fn drop(&mut self) {
        self.stop_sending(Code::H3_NO_ERROR.value());
    }
}

/// Completions of the responses of a connection, by stream id.
#[derive(Clone, Default)]
pub struct StreamCompletions {
    /// Shared by the connection and its requests, which run on one thread.
    completions: Rc<RefCell<BTreeMap<u64, StreamCompletion>>>,
}

impl StreamCompletions {
    fn track<B: Buf>(&self, send: &SendStream<B>) {
        let stopped = send.stream.stopped();
        let completion = StreamCompletion(actix_rt::spawn(stopped));
        let mut completions = self.completions.borrow_mut();
        // Completions of streams that h3 rejected are never taken.
        completions.retain(|_, completion| !completion.0.is_finished());
        completions.insert(send.send_id().into_inner(), completion);
    }

    /// Removes and returns the completion of a stream.
    #[must_use]
    pub fn take(&self, id: StreamId) -> Option<StreamCompletion> {
        self.completions.borrow_mut().remove(&id.into_inner())
    }
}

/// Resolves when the caller stops a response or has acknowledged all of it.
pub struct StreamCompletion(JoinHandle<Result<Option<VarInt>, StoppedError>>);

impl StreamCompletion {
    /// Waits for the completion.
    pub async fn wait(&mut self) {
        // Callers of `wait` do not distinguish the two cases.
        let _ = (&mut self.0).await;
    }
}

impl Drop for StreamCompletion {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn write_error(error: WriteError) -> StreamErrorIncoming {
    match error {
        WriteError::Stopped(code) => terminated(code),
        WriteError::ConnectionLost(e) => connection_lost(e),
        e => unknown(io::Error::other(e)),
    }
}

fn stream_id(id: quinn::StreamId) -> StreamId {
    StreamId::try_from(u64::from(id)).expect("a stream id has 62 bits")
}

fn var_int(code: u64) -> VarInt {
    VarInt::from_u64(code).unwrap_or(VarInt::MAX)
}

fn terminated(code: VarInt) -> StreamErrorIncoming {
    StreamErrorIncoming::StreamTerminated {
        error_code: code.into_inner(),
    }
}

fn connection_lost(error: ConnectionError) -> StreamErrorIncoming {
    StreamErrorIncoming::ConnectionErrorIncoming {
        connection_error: connection_error(error),
    }
}

fn unknown(error: io::Error) -> StreamErrorIncoming {
    StreamErrorIncoming::Unknown(Box::new(error))
}

fn connection_error(error: ConnectionError) -> ConnectionErrorIncoming {
    match error {
        ConnectionError::ApplicationClosed(close) => ConnectionErrorIncoming::ApplicationClose {
            error_code: close.error_code.into_inner(),
        },
        ConnectionError::TimedOut => ConnectionErrorIncoming::Timeout,
        error => ConnectionErrorIncoming::Undefined(std::sync::Arc::new(error)),
    }
}
