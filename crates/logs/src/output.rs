//! Where lines go.

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

use crate::{Budget, line};

/// Longest line in bytes. A pipe that can be written to takes this much
/// without blocking.
const LONGEST: usize = 4096;

/// Kind under which lines are counted that the reader did not take in time.
const NOT_READ: &str = "output_not_read";

/// Where lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Writes a line if that does not block, and counts it otherwise.
struct NonBlocking {
    output: Output,
    not_read: Arc<AtomicU64>,
}

impl Write for NonBlocking {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let written = match self.output {
            Output::Stdout => write_to(&mut io::stdout(), line)?,
            Output::Stderr => write_to(&mut io::stderr(), line)?,
        };
        if !written {
            self.not_read.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_to<W: Write + AsFd>(to: &mut W, line: &[u8]) -> io::Result<bool> {
    if line.len() > LONGEST || !is_writable(to.as_fd()) {
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

/// Starts the log. `LIMPET_LOG` sets the level; `info` is the default. Only the
/// first call in a process has an effect.
pub fn init(output: Output) {
    line::start_clock();
    let budget = Mutex::new(Budget::new(Instant::now()));
    let not_read = Arc::new(AtomicU64::new(0));
    let pipe = NonBlocking {
        output,
        not_read: not_read.clone(),
    };
    let started = Builder::from_env(Env::new().filter_or("LIMPET_LOG", "info"))
        .target(Target::Pipe(Box::new(pipe)))
        .format(move |buf, record| {
            let now = Instant::now();
            let kind = line::kind(record);
            // A thread that panicked while it logged leaves the counts usable.
            let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
            let mut left_out = budget.take_left_out(now);
            if !left_out.is_empty() {
                let not_read = not_read.swap(0, Ordering::Relaxed);
                if not_read > 0 {
                    left_out.insert(NOT_READ.to_owned(), not_read);
                }
                buf.write_all(line::format_left_out(&left_out).as_bytes())?;
            }
            if budget.take(&kind, now) {
                buf.write_all(line::format(record).as_bytes())?;
            }
            Ok(())
        })
        .try_init();
    // A second call finds the log started.
    let _ = started;
}
