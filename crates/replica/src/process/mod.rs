//! Types that live as long as the process: tasks, settings and the handle.

mod evacuation;
mod formation;
mod formation_file;
mod group;
mod http;
mod leader;
mod metrics;
mod nodes;
mod record_file;
mod replica;
mod roster_file;
mod run;
mod settings;
mod submissions;
mod transport;

pub use replica::ReplicaHandle;
pub use run::{start, start_observer, start_on};
pub use settings::Settings;
