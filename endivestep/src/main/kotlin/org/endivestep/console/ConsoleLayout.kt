package org.endivestep.console

import kotlinx.html.FlowContent
import kotlinx.html.a
import kotlinx.html.body
import kotlinx.html.h1
import kotlinx.html.head
import kotlinx.html.html
import kotlinx.html.p
import kotlinx.html.stream.createHTML
import kotlinx.html.style
import kotlinx.html.title
import kotlinx.html.unsafe
import org.http4k.core.Response
import org.http4k.core.Status

private const val STYLE =
    "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:.2em .6em}" +
        "label{display:inline-block;min-width:14em}.short{background:#fdd}"

/** Returns a page of the console with [heading] and navigation links. */
internal fun page(heading: String, content: FlowContent.() -> Unit): Response {
    val text =
        createHTML().html {
            head {
                title { +"endivestep: $heading" }
                style { unsafe { +STYLE } }
            }
            body {
                p {
                    a("/") { +"Overview" }
                    +" "
                    a("/document") { +"Document" }
                    +" "
                    a("/audit") { +"Audit trail" }
                }
                h1 { +heading }
                content()
            }
        }
    return Response(Status.OK).header("Content-Type", "text/html; charset=utf-8").body("<!DOCTYPE html>\n$text")
}
