//! Writes log lines to an output without blocking.

use std::{
    io::{self, Write},
    os::fd::{AsFd, BorrowedFd},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use env_logger::{Builder, Env, Target};
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};

use crate::{RateLimiter, line};

/// `PIPE_BUF` of Linux: a pipe that polls as writable takes this much without
/// blocking. Longer lines are dropped and counted.
const MAX_LINE_BYTES: usize = 4096;

/// Kind under which lines are reported that were longer than
/// [`MAX_LINE_BYTES`], or that would have blocked because the output is not
/// read fast enough.
const UNWRITTEN_KIND: &str = "output_not_read";

/// The stream that log lines are written to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Writes a line if that does not block, and counts it otherwise.
struct NonBlockingWriter {
    output: Output,
    unwritten_lines: Arc<AtomicU64>,
}

impl Write for NonBlockingWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let written = match self.output {
            Output::Stdout => try_write(&mut io::stdout(), line)?,
            Output::Stderr => try_write(&mut io::stderr(), line)?,
        };
        if !written {
            self.unwritten_lines.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns `false` if the line was not written.
fn try_write<W: Write + AsFd>(to: &mut W, line: &[u8]) -> io::Result<bool> {
    if line.len() > MAX_LINE_BYTES || !is_writable(to.as_fd()) {
        return Ok(false);
    }
    to.write_all(line)?;
    to.flush()?;
    Ok(true)
}

fn is_writable(fd: BorrowedFd<'_>) -> bool {
    let mut fds = [PollFd::new(fd, PollFlags::POLLOUT)];
    let ready = poll(&mut fds, PollTimeout::ZERO).is_ok_and(|count| count > 0);
    ready && fds[0].any().unwrap_or(false)
}

/// Installs the logger. `LIMPET_LOG` sets the level filter; the default is
/// `info`. Only the first call in a process has an effect.
pub fn init(output: Output) {
    line::init_start_time();
    let limiter = Mutex::new(RateLimiter::new(Instant::now()));
    let unwritten_lines = Arc::new(AtomicU64::new(0));
    let writer = NonBlockingWriter {
        output,
        unwritten_lines: unwritten_lines.clone(),
    };
    let installed = Builder::from_env(Env::new().filter_or("LIMPET_LOG", "info"))
        .target(Target::Pipe(Box::new(writer)))
        .format(move |buf, record| {
            let now = Instant::now();
            let kind = line::kind(record);
            // The counters stay valid if a thread panics while it logs.
            let mut limiter = limiter.lock().unwrap_or_else(PoisonError::into_inner);
            let mut suppressed = limiter.take_suppressed(now);
            if !suppressed.is_empty() {
                let unwritten_lines = unwritten_lines.swap(0, Ordering::Relaxed);
                if unwritten_lines > 0 {
                    suppressed.insert(UNWRITTEN_KIND.to_owned(), unwritten_lines);
                }
                buf.write_all(line::encode_suppressed(&suppressed).as_bytes())?;
            }
            if limiter.allow(&kind, now) {
                buf.write_all(line::encode_record(record).as_bytes())?;
            }
            Ok(())
        })
        .try_init();
    // An error means that a logger is installed already.
    let _ = installed;
}
