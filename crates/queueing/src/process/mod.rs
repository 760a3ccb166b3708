//! Types that live as long as the process.

mod fair_order;
mod overtaking_debt;
mod retry_schedule;
mod waiting_queue;

pub use fair_order::{FairOrder, Ties};
pub use overtaking_debt::OvertakingDebt;
pub use retry_schedule::RetrySchedule;
pub use waiting_queue::{Order, SlotSchedule, WaitingQueue};
