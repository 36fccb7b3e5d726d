package org.endivestep.metrics

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.endivestep.exchange.RequestRank
import org.endivestep.identity.KindName
import org.endivestep.identity.TeamName
import org.endivestep.outcome.Load
import org.endivestep.outcome.NotRunReason

class AdmissionMetricsTest :
    FunSpec({
        test("refusals are counted by reason and kind and by team, with a bounded number of labels for teams") {
            val metrics = DaemonMetrics()
            val admission = AdmissionMetrics(metrics.registry) { 0 }
            repeat(75) { team ->
                listOf(NotRunReason.OVERLOADED, null).forEach { refusal ->
                    admission.record(
                        AdmissionRecord(KindName("order"), RequestRank(team = TeamName("team-$team")), 30, refusal, Load(4, 4)),
                    )
                }
            }
            val lines = metrics.scrape().lines()
            val teams = lines.filter { it.startsWith("endivestep_admission_refused_by_team_total{") }
            teams.size shouldBe AdmissionMetrics.MAX_TEAM_LABELS + 1
            teams.sumOf { it.substringAfter("} ").toDouble() } shouldBe 75.0
            teams.first { AdmissionMetrics.OTHER_TEAMS in it } shouldContain "55"
            lines.first { it.startsWith("endivestep_admission_refused_total{") } shouldContain "kind=\"order\",reason=\"overloaded\""
            lines.first { it.startsWith("endivestep_admission_wait_seconds_count{") } shouldContain "150"
        }
    })
