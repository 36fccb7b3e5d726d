package org.endivestep.daemon

import org.endivestep.identity.DataCentreName
import org.endivestep.identity.VmName
import org.endivestep.identity.randomId
import org.endivestep.membership.MemberInfo
import org.endivestep.membership.MemberState
import org.endivestep.membership.newDaemonIncarnation
import org.endivestep.settings.Address

/** Returns the entry of a daemon that starts now and has no worker yet. [adminPort] is 0 for a daemon without an admin server. */
internal fun initialMemberInfo(vm: VmName, inner: Address, dataCentre: DataCentreName, adminPort: Int = 0): MemberInfo =
    MemberInfo(
        vm = vm,
        inner = inner,
        adminPort = adminPort,
        dataCentre = dataCentre,
        incarnation = newDaemonIncarnation(System.currentTimeMillis(), randomId()),
        sequence = 1,
        state = MemberState.ALIVE,
        worker = null,
    )
