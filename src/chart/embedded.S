/* Embeds the files of charts/ as read-only data, each ended by a zero byte. */
        .section .rodata
        .macro  embed symbol, path
        .global \symbol
\symbol:
        .incbin "\path"
        .byte   0
        .endm

        embed   tarragondale_chart_failover, "charts/failover.chart"
        embed   tarragondale_chart_vm_lifecycle, "charts/vm_lifecycle.chart"
        embed   tarragondale_chart_connection, "charts/connection.chart"
        embed   tarragondale_chart_transaction, "charts/transaction.chart"
        embed   tarragondale_chart_handover, "charts/handover.chart"

        .section .note.GNU-stack, "", %progbits
