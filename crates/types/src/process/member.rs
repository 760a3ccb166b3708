//! Identity of a member of the control group.

hexadecimal! {
    /// Identity of a member of the control group.
    ///
    /// Drawn at random once on an empty disk and kept there, so a host that
    /// lost its disk comes back as another member.
    MemberId
}
