//! Client of the control group.
