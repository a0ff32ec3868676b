#!/usr/bin/env python3
"""Ordinary Flight SQL calls through a gateway by a driver that this project did not write.

    python3 -m venv /tmp/adbc && /tmp/adbc/bin/pip install adbc-driver-flightsql adbc-driver-manager pyarrow
    stackgw demo --flight --hold --kill-every-ms 0 --pairs 50     # says where the gateways listen
    /tmp/adbc/bin/python tools/adbc_check.py HOST:PORT [HOST:PORT ...]

Each call prints a line; the last one is `N passed, N failed`. Not part of CI.
"""
import sys
import time

import adbc_driver_flightsql.dbapi as flightsql
from adbc_driver_flightsql import ConnectionOptions, DatabaseOptions

HEADER = DatabaseOptions.RPC_CALL_HEADER_PREFIX.value
passed = failed = 0


def connect(at, klass, group="2"):
    headers = {HEADER + "x-stackgw-class": klass, HEADER + "x-stackgw-group": group}
    return flightsql.connect(f"grpc://{at}", db_kwargs=headers, autocommit=True)


def patiently(call):
    """Comes again while it is refused, as refusals are harmless."""
    until = time.monotonic() + 10
    while True:
        try:
            return call()
        except Exception as error:
            if "UNAVAILABLE" not in str(error).upper() or time.monotonic() > until:
                raise
            time.sleep(0.05)


def check(name, call):
    global passed, failed
    try:
        told = call()
        passed += 1
        print(f"ok     {name}" + (f": {told}" if told else ""))
    except Exception as error:
        failed += 1
        print(f"FAILED {name}: {type(error).__name__}: {error}")


def must(good, what):
    if not good:
        raise AssertionError(what)


def read(at, klass, sql, parameters=None):
    with connect(at, klass) as connection, connection.cursor() as cursor:
        cursor.execute(sql, parameters)
        return cursor.fetch_arrow_table()


def write(at, sql):
    with connect(at, "buy") as connection, connection.cursor() as cursor:
        return cursor.adbc_statement.set_sql_query(sql) or cursor.adbc_statement.execute_update()


def suite(gateways):
    at, other = gateways[0], gateways[-1]
    insert = "INSERT INTO state (uid, val) VALUES ('adbc', '\\x6869') RETURNING val"
    select = "SELECT val FROM state WHERE uid = 'adbc'"

    def update():
        rows = patiently(lambda: write(at, insert))
        must(rows == 1, rows)

    def session():
        table = patiently(lambda: read(other, "mine", select))
        must(table.column(0).to_pylist() == [b"6869"], table)

    def bulk():
        rows = patiently(lambda: read(at, "look", "SELECT val FROM state WHERE uid = 'bulk-200-65536'"))
        must(rows.num_rows == 200 and len(rows.column(0)[199].as_py()) == 65536, rows.num_rows)
        return f"{rows.nbytes >> 20} MiB"

    def prepared():
        table = patiently(lambda: read(at, "mine", "SELECT val FROM state WHERE uid = ?", ["adbc"]))
        must(table.column(0).to_pylist() == [b"6869"], table)

    def catalogs():
        with connect(at, "look") as connection:
            objects = connection.adbc_get_objects(depth="tables").read_all().to_pylist()
        tables = [t["table_name"] for c in objects for s in c["catalog_db_schemas"] for t in s["db_schema_tables"]]
        must(tables == ["state"], objects)

    def info():
        with connect(at, "look") as connection:
            told = connection.adbc_get_info()
        must(told["vendor_name"] == "stackgw", told)
        return told["vendor_version"]

    def table_types():
        with connect(at, "look") as connection:
            must(connection.adbc_get_table_types() == ["TABLE"], "other types")

    def refused():
        try:
            read(at, "nothing", select)
        except Exception as error:
            must("class" in str(error), error)
            return
        raise AssertionError("an unknown class was served")

    def late():
        with connect(at, "look") as connection:
            connection.adbc_connection.set_options(**{ConnectionOptions.TIMEOUT_FETCH.value: 0.5})
            with connection.cursor() as cursor:
                since = time.monotonic()
                try:
                    cursor.execute("SELECT val FROM state WHERE uid = 'bulk-1000000-65536'")
                    for _ in cursor.fetch_record_batch():
                        pass
                except Exception:
                    must(time.monotonic() - since < 3, "it took too long to end")
                    return
        raise AssertionError("it went on")

    def cancelled():
        with connect(at, "look") as connection, connection.cursor() as cursor:
            cursor.execute("SELECT val FROM state WHERE uid = 'bulk-1000000-65536'")
            batches = cursor.fetch_record_batch()
            next(batches)
            cursor.adbc_cancel()
            try:
                for _ in range(100_000):
                    next(batches)
            except (StopIteration, Exception):
                return
        raise AssertionError("it went on")

    for name, call in [
        ("update", update),
        ("a session's read at another gateway", session),
        ("bulk read", bulk),
        ("prepared statement with a bound parameter", prepared),
        ("catalogs, schemas, tables", catalogs),
        ("SqlInfo", info),
        ("table types", table_types),
        ("an unknown class is named", refused),
        ("a client's time ends its stream", late),
        ("cancelled halfway", cancelled),
    ]:
        check(name, call)


if len(sys.argv) < 2:
    sys.exit(__doc__)
suite(sys.argv[1:])
print(f"{passed} passed, {failed} failed")
sys.exit(failed > 0)
