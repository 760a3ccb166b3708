//! A rate-limited JSON logger that never blocks the process.
//!
//! Each line is an object with `time`, `up_ms`, `level`, `target`, `message` and
//! the fields of the record; `event` names the kind of line, and `up_ms` is the
//! time since the process started by the monotonic clock, which is not stepped.
//! Lines of one kind beyond [`MAX_LINES_PER_KIND_PER_SECOND`] are suppressed,
//! and so are lines that cannot be written to the output without blocking. A
//! line with the event `lines_left_out` reports the suppressed lines by kind.
//!
//! ```
//! logs::init(logs::Output::Stdout);
//! log::info!(event = "started", port = 443; "listening");
//! ```

mod line;
mod output;
mod rate_limiter;

pub use output::{Output, init};
pub use rate_limiter::{MAX_LINES_PER_KIND_PER_SECOND, RateLimiter};
