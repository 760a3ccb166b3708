//! State that lives as long as a request.

mod progress;

pub(crate) use progress::RequestProgress;
