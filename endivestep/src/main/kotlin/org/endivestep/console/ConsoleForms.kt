package org.endivestep.console

import kotlinx.html.FlowContent
import kotlinx.html.FormMethod
import kotlinx.html.InputType
import kotlinx.html.form
import kotlinx.html.input
import kotlinx.html.label
import kotlinx.html.p
import kotlinx.html.submitInput
import kotlinx.html.textArea
import org.endivestep.configuration.ActiveConfiguration
import org.endivestep.identity.ConfigurationVersion
import org.http4k.core.body.form

internal const val BASE_FIELD = "base"
internal const val DOCUMENT_FIELD = "document"
internal const val SECTION_FIELD = "section"
internal const val VALUE_PREFIX = "value:"

internal fun FlowContent.sectionEditForm(active: ActiveConfiguration?, section: String?, values: List<Pair<String, String>>) {
    form(action = "/section", method = FormMethod.post) {
        baseVersionInput(active)
        if (section == null) {
            textField("Section", SECTION_FIELD, "")
        } else {
            hiddenInput(SECTION_FIELD, section)
        }
        values.forEach { (key, value) -> textField(key, VALUE_PREFIX + key, value) }
        textField("Additional key", "new-key", "")
        textField("Value", "new-value", "")
        submitInput { value = "Submit" }
    }
}

internal fun FlowContent.documentForm(base: ConfigurationVersion, text: String) {
    form(action = "/document", method = FormMethod.post) {
        hiddenInput(BASE_FIELD, base.number.toString())
        textArea {
            name = DOCUMENT_FIELD
            rows = "30"
            cols = "100"
            +text
        }
        p { submitInput { value = "Submit document" } }
    }
}

internal fun FlowContent.baseVersionInput(active: ActiveConfiguration?) =
    hiddenInput(BASE_FIELD, (active?.version?.number ?: 0).toString())

internal fun FlowContent.hiddenInput(field: String, content: String) {
    input(InputType.hidden) {
        name = field
        value = content
    }
}

internal fun FlowContent.textField(caption: String, field: String, content: String) {
    p {
        label { +caption }
        input(InputType.text) {
            name = field
            value = content
        }
    }
}
