//! Services.

use types::{Change, Revision, ServiceName};
use wire::request::{Query, QueryReply};

use super::{Context, change::Submission, resend::command_args};
use crate::{
    error::{Error, Result},
    process::{ChangeFlags, Exit, ServiceCommand},
    version::{ServiceView, ServicesView},
};

pub async fn run(cx: &Context<'_>, command: &ServiceCommand) -> Result<Exit> {
    match command {
        ServiceCommand::Create {
            name,
            address,
            flags,
        } => {
            let submission = Submission {
                change: Change::CreateService {
                    name: name.clone(),
                    address: *address,
                },
                flags,
                base: flags.base.unwrap_or_default(),
                command_args: command_args!["service", "create", name, "--address", address],
            };
            Ok(cx.submit_and_show(submission).await)
        }
        ServiceCommand::List => list(cx).await,
        ServiceCommand::Show { name } => {
            let service = cx.service(name).await?;
            let service = service.ok_or_else(|| Error::UnknownService(name.clone()))?;
            cx.show_result(&ServiceView::from(&service))
        }
        ServiceCommand::Delete { name, flags } => {
            let submission = Submission {
                change: Change::DeleteService { name: name.clone() },
                flags,
                base: service_base(cx, flags, name).await?,
                command_args: command_args!["service", "delete", name],
            };
            Ok(cx.submit_and_show(submission).await)
        }
    }
}

async fn list(cx: &Context<'_>) -> Result<Exit> {
    let QueryReply::Services(services) = cx.query(&Query::Services).await? else {
        return Err(Error::UnexpectedReply);
    };
    cx.show_result(&ServicesView {
        services: services.iter().map(ServiceView::from).collect(),
    })
}

/// The base revision of a change to a service.
pub async fn service_base(
    cx: &Context<'_>,
    flags: &ChangeFlags,
    name: &ServiceName,
) -> Result<Revision> {
    let read = async { Ok(cx.service(name).await?.map(|service| service.revision)) };
    cx.resolve_base(flags, read).await
}
