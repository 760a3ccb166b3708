//! Role of a process.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{Category, Error, Result};

/// Role of a process that subscribes to the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Forwards datagrams between the fabric and the agents.
    Balancer,
    /// Terminates the connections of callers next to an upstream.
    Agent,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Role::Balancer => "balancer",
            Role::Agent => "agent",
        })
    }
}

impl FromStr for Role {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        match s {
            "balancer" => Ok(Role::Balancer),
            "agent" => Ok(Role::Agent),
            _ => Err(Error::new(Category::Keyword, s, "'balancer' or 'agent'")),
        }
    }
}
