//! Status of the whole system.

use super::Context;
use crate::{error::Result, process::Exit, version::StatusView};

pub async fn run(cx: &Context<'_>) -> Result<Exit> {
    let status = cx.status().await?;
    cx.show_result(&StatusView::from(&status))
}
