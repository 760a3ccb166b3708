//! Health of the upstream by what the agent saw.
