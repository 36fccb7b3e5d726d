package org.endivestep.fakes

import org.endivestep.document.Document
import org.endivestep.document.readDocument
import org.endivestep.findings.Checked

/** Text of a configuration document with two data centres and two services. */
internal fun sampleText(katwijk: String = "in", limitMax: Int = 20): String =
    """
    [data-centre haarlem]
    region = nl-west
    state = in
    [data-centre katwijk]
    region = nl-west
    state = $katwijk
    [service voorraad]
    limit-cold = 2
    limit-max = $limitMax
    queue-wait-ms = 0
    shed-status = 503
    echoes-request-id = yes
    max-attempts = 3
    [service bestel]
    limit-cold = 2
    limit-max = 20
    queue-wait-ms = 0
    shed-status = 503
    max-attempts = 3
    [kind voorraad.read]
    methods = GET
    path = /
    idempotent = yes
    deadline-ms = 400
    [kind bestel.order]
    methods = POST
    path = /orders
    idempotent = no
    deadline-ms = 400
    [kind bestel.read]
    methods = GET
    path = /
    idempotent = yes
    deadline-ms = 400
    """.trimIndent()

internal fun sampleDocument(katwijk: String = "in"): Document =
    (readDocument("sample", sampleText(katwijk)) as Checked.Valid).value
