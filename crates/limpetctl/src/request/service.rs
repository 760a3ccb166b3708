//! Services.

use types::{Change, Revision, ServiceName};
use wire::request::{Query, QueryReply};

use super::{Context, change::Ask, resend::words};
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
            let ask = Ask {
                change: Change::CreateService {
                    name: name.clone(),
                    address: *address,
                },
                flags,
                base: flags.base.unwrap_or_default(),
                words: words!["service", "create", name, "--address", address],
            };
            Ok(cx.change(ask).await)
        }
        ServiceCommand::List => list(cx).await,
        ServiceCommand::Show { name } => {
            let service = cx.service(name).await?;
            let service = service.ok_or_else(|| Error::NoService(name.clone()))?;
            cx.show(&ServiceView::from(&service))
        }
        ServiceCommand::Delete { name, flags } => {
            let ask = Ask {
                change: Change::DeleteService { name: name.clone() },
                flags,
                base: service_base(cx, flags, name).await?,
                words: words!["service", "delete", name],
            };
            Ok(cx.change(ask).await)
        }
    }
}

async fn list(cx: &Context<'_>) -> Result<Exit> {
    let QueryReply::Services(services) = cx.query(&Query::Services).await? else {
        return Err(Error::Mismatch);
    };
    cx.show(&ServicesView {
        services: services.iter().map(ServiceView::from).collect(),
    })
}

/// The revision of a service that a change of it is based on.
pub async fn service_base(
    cx: &Context<'_>,
    flags: &ChangeFlags,
    name: &ServiceName,
) -> Result<Revision> {
    let read = async { Ok(cx.service(name).await?.map(|service| service.revision)) };
    cx.base(flags, read).await
}
