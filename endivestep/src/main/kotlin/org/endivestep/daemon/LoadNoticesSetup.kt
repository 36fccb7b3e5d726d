package org.endivestep.daemon

import org.endivestep.admission.AdmissionQueue
import org.endivestep.identity.VmName
import org.endivestep.membership.Gossip
import org.endivestep.outcome.Load
import org.endivestep.platform.PlatformSettings
import org.endivestep.protocol.LoadNoticeRecipients
import org.endivestep.protocol.LoadNotices
import org.endivestep.protocol.RecentSenders

/**
 * Returns what sends the load of [admission] to the daemons in [senders], and passes the loads that it receives to [onNotice].
 * Throws [java.io.IOException] if the port is in use.
 */
internal fun loadNotices(
    settings: PlatformSettings,
    gossip: Gossip,
    admission: AdmissionQueue,
    senders: RecentSenders,
    onNotice: (VmName, Load) -> Unit,
): LoadNotices =
    LoadNotices(
        udpSocket(settings.inner, LoadNotices.PORT_OFFSET),
        settings.vm,
        LoadNoticeRecipients(settings.vm, settings.dataCentre, { gossip.members }, senders),
        { admission.load },
        onNotice,
    )
