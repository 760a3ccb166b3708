//! Id of a member of the control group.

hexadecimal! {
    /// Id of a member of the control group.
    ///
    /// Generated at random when the data folder is created and stored there,
    /// so a host that has lost its disk returns as another member.
    MemberId
}
