// table_test.cpp: reading and checking tables, digests, deltas.

#include "check.h"

#include <algorithm>

namespace Winchlink
{

static const char* GoodTable = R"({"revision": 7, "rows": [
  {"name": "loans", "pathPrefix": "/loans", "class": "critical", "maxConcurrent": 18, "repeatMethods": ["GET"],
   "targets": [{"address": "127.0.0.1:1", "weight": 2, "slots": 3, "dataCentre": "a"}]}]})";

static std::string TableWithRow(const std::string& row)
{
    return R"({"revision": 1, "rows": [)" + row + "]}";
}

class TableTest : public CPPUNIT_NS::TestFixture
{
    CPPUNIT_TEST_SUITE(TableTest);
    CPPUNIT_TEST(ReadsAGoodTable);
    CPPUNIT_TEST(NamesEveryFault);
    CPPUNIT_TEST(RefusesBrokenJson);
    CPPUNIT_TEST(RefusesDuplicateKeys);
    CPPUNIT_TEST(RefusesBadRows);
    CPPUNIT_TEST(RefusesTextsThatAreTooLong);
    CPPUNIT_TEST(RefusesOneByteTooMany);
    CPPUNIT_TEST(WritesWhatItReads);
    CPPUNIT_TEST(MatchesLongestPrefixAndHost);
    CPPUNIT_TEST(AssignsRevisionsToChangedRowsOnly);
    CPPUNIT_TEST(DeltaTurnsAnyVersionIntoTheNext);
    CPPUNIT_TEST(DeltaAppliesAllOrNothing);
    CPPUNIT_TEST(DeltaAfterRemovalAndReturn);
    CPPUNIT_TEST(GarbageNeverCrashes);
    CPPUNIT_TEST_SUITE_END();

public:
    void ReadsAGoodTable()
    {
        const CheckedTable checked = ParseTable(GoodTable);
        CPPUNIT_ASSERT(checked.Faults.empty());
        CPPUNIT_ASSERT_EQUAL(uint64_t(7), checked.Value.Version.Revision);
        const ServiceRow* row = FindRow(checked.Value, "loans");
        CPPUNIT_ASSERT(row != nullptr);
        CPPUNIT_ASSERT_EQUAL(18, row->MaxConcurrent);
        CPPUNIT_ASSERT_EQUAL(uint64_t(7), row->Revision);
        CPPUNIT_ASSERT_EQUAL(2, row->Targets[0].Weight);
    }

    void NamesEveryFault()
    {
        const CheckedTable checked = ParseTable(R"({"revision": 1, "colour": 1, "rows": [
            {"name": "a", "pathPrefix": "a", "targets": [{"address": "nowhere", "weight": -1}, {"address": "127.0.0.1:1", "wieght": 1}]},
            {"name": "a", "pathPrefix": "/b", "class": "vip", "targets": []}]})");
        CPPUNIT_ASSERT(HasFault(checked.Faults, Code_TableUnknownKey, "colour"));
        CPPUNIT_ASSERT(HasFault(checked.Faults, Code_TableOutOfRange, "rows[0].pathPrefix"));
        CPPUNIT_ASSERT(HasFault(checked.Faults, Code_TableBadAddress, "rows[0].targets[0].address"));
        CPPUNIT_ASSERT(HasFault(checked.Faults, Code_TableOutOfRange, "rows[0].targets[0].weight"));
        CPPUNIT_ASSERT(HasFault(checked.Faults, Code_TableUnknownKey, "rows[0].targets[1].wieght"));
        CPPUNIT_ASSERT(HasFault(checked.Faults, Code_TableDuplicateService, "rows[1].name"));
        CPPUNIT_ASSERT(HasFault(checked.Faults, Code_TableOutOfRange, "rows[1].class"));
        CPPUNIT_ASSERT(HasFault(checked.Faults, Code_TableNoTargets, "rows[1].targets"));
    }

    void RefusesBrokenJson()
    {
        for (const char* text : {"", "{", "[]", "null", "{\"revision\": 1", "{\"revision\": 1}", "{\"rows\": []}", "\xff\xfe"})
        {
            CPPUNIT_ASSERT_MESSAGE(text, !ParseTable(text).Faults.empty());
        }
    }

    void RefusesDuplicateKeys()
    {
        CPPUNIT_ASSERT_EQUAL(int(Code_TableNotJson), int(ParseTable(R"({"revision": 1, "revision": 2, "rows": []})").Faults.at(0).Code));
    }

    void RefusesBadRows()
    {
        const std::string good_target = R"("targets": [{"address": "127.0.0.1:1"}])";
        const CheckedTable same_route = ParseTable(R"({"revision": 1, "rows": [{"name": "a", "pathPrefix": "/x", )" + good_target +
                                                   R"(}, {"name": "b", "pathPrefix": "/x", )" + good_target + "}]}");
        CPPUNIT_ASSERT(HasFault(same_route.Faults, Code_TableDuplicateRoute, "rows[1]"));
        const CheckedTable twice = ParseTable(
            TableWithRow(R"({"name": "a", "pathPrefix": "/x", "targets": [{"address": "127.0.0.1:1"}, {"address": "127.0.0.1:1"}]})"));
        CPPUNIT_ASSERT(HasFault(twice.Faults, Code_TableDuplicateTarget, "rows[0].targets[1].address"));
        const CheckedTable numbers =
            ParseTable(TableWithRow(R"({"name": "a", "pathPrefix": "/x", "firstNumber": 3, )" + good_target + "}"));
        CPPUNIT_ASSERT(HasFault(numbers.Faults, Code_TableMissingKey, "rows[0].numbers"));
        const CheckedTable negative = ParseTable(TableWithRow(R"({"name": "a", "pathPrefix": "/x", "numbers": -1, )" + good_target + "}"));
        CPPUNIT_ASSERT(HasFault(negative.Faults, Code_TableOutOfRange, "rows[0].numbers"));
        const CheckedTable newer = ParseTable(TableWithRow(R"({"name": "a", "revision": 2, "pathPrefix": "/x", )" + good_target + "}"));
        CPPUNIT_ASSERT(HasFault(newer.Faults, Code_TableOutOfRange, "rows[0].revision"));
        const CheckedTable typed = ParseTable(TableWithRow(R"({"name": 5, "pathPrefix": "/x", "maxConnections": "many", "targets": {}})"));
        CPPUNIT_ASSERT(HasFault(typed.Faults, Code_TableWrongType, "rows[0].name"));
        CPPUNIT_ASSERT(HasFault(typed.Faults, Code_TableWrongType, "rows[0].maxConnections"));
        CPPUNIT_ASSERT(HasFault(typed.Faults, Code_TableWrongType, "rows[0].targets"));
    }

    // Such a row has no encoding; reading it must end in faults all the same.
    void RefusesTextsThatAreTooLong()
    {
        const std::string name(TextMax + 1, 'a');
        const std::string method(MethodMax + 1, 'A');
        const std::string row = R"({"name": ")" + name + R"(", "pathPrefix": "/)" + name + R"(", "host": ")" + name +
                                R"(", "repeatMethods": [")" + method + R"("], "targets": [{"address": ")" + name + R"(", "dataCentre": ")" +
                                name + R"("}]})";
        const CheckedTable checked = ParseTable(TableWithRow(row));
        CPPUNIT_ASSERT(HasFault(checked.Faults, Code_TableOutOfRange, "rows[0].name"));
        CPPUNIT_ASSERT(HasFault(checked.Faults, Code_TableOutOfRange, "rows[0].pathPrefix"));
        CPPUNIT_ASSERT(HasFault(checked.Faults, Code_TableOutOfRange, "rows[0].host"));
        CPPUNIT_ASSERT(HasFault(checked.Faults, Code_TableOutOfRange, "rows[0].repeatMethods[0]"));
        CPPUNIT_ASSERT(HasFault(checked.Faults, Code_TableBadAddress, "rows[0].targets[0].address"));
        CPPUNIT_ASSERT(HasFault(checked.Faults, Code_TableOutOfRange, "rows[0].targets[0].dataCentre"));
        CPPUNIT_ASSERT(!ParseRow(row).has_value());
    }

    void RefusesOneByteTooMany()
    {
        const Table table = ParseTable(GoodTable).Value;
        std::string row = FormatRow(table.Rows[0]);
        row.append(PlatformValueMax - row.size(), ' ');
        CPPUNIT_ASSERT(ParseRow(row).has_value());
        CPPUNIT_ASSERT_EQUAL(int(Code_TableTooLarge), int(ParseRow(row + " ").error().Code));
        std::string index = FormatIndex(table);
        index.append(PlatformValueMax - index.size(), ' ');
        CPPUNIT_ASSERT(ParseIndex(index).has_value());
        CPPUNIT_ASSERT_EQUAL(int(Code_TableTooLarge), int(ParseIndex(index + " ").error().Code));
        std::string text = GoodTable;
        text.append(TableDocumentMax - text.size(), ' ');
        CPPUNIT_ASSERT(ParseTable(text).Faults.empty());
        CPPUNIT_ASSERT_EQUAL(int(Code_TableTooLarge), int(ParseTable(text + " ").Faults.at(0).Code));
    }

    void WritesWhatItReads()
    {
        const Table table = ParseTable(GoodTable).Value;
        const CheckedTable again = ParseTable(FormatTable(table));
        CPPUNIT_ASSERT(again.Faults.empty());
        CPPUNIT_ASSERT(again.Value.Version == table.Version);
        const Result<ServiceRow> row = ParseRow(FormatRow(table.Rows[0]));
        CPPUNIT_ASSERT(row.has_value() && row.value().RowDigest == table.Rows[0].RowDigest);
        const Result<TableIndex> index = ParseIndex(FormatIndex(table));
        CPPUNIT_ASSERT(index.has_value() && index.value().Version == table.Version);
    }

    void MatchesLongestPrefixAndHost()
    {
        ServiceRow any = MakeRow("any", 1);
        any.PathPrefix = "/";
        ServiceRow loans = MakeRow("loans", 1);
        ServiceRow shop = MakeRow("shop", 1);
        shop.PathPrefix = "";
        shop.Host = "shop.example";
        const Table table = MakeTable(1, {any, loans, shop});
        CPPUNIT_ASSERT_EQUAL(std::string("loans"), MatchRow(table, "x", "/loans/7")->Name);
        CPPUNIT_ASSERT_EQUAL(std::string("loans"), MatchRow(table, "x", "/loans?id=7")->Name);
        CPPUNIT_ASSERT_EQUAL(std::string("any"), MatchRow(table, "x", "/loans-archive")->Name);
        CPPUNIT_ASSERT_EQUAL(std::string("shop"), MatchRow(table, "shop.example", "/loans/7")->Name);
        CPPUNIT_ASSERT(MatchRow(MakeTable(1, {loans}), "x", "/other") == nullptr);
    }

    void AssignsRevisionsToChangedRowsOnly()
    {
        const Table before = MakeTable(3, {MakeRow("a", 1), MakeRow("b", 2), MakeRow("c", 3)});
        Table after = before;
        after.Version.Revision = 4;
        after.Rows[1].DeadlineMs = 5;
        after.Rows.pop_back();
        AssignRowRevisions(before, &after);
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), FindRow(after, "a")->Revision);
        CPPUNIT_ASSERT_EQUAL(uint64_t(4), FindRow(after, "b")->Revision);
        CPPUNIT_ASSERT_EQUAL(size_t(1), after.Removed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("c"), after.Removed[0].Name);
    }

    // A history of random edits: from each version a delta leads to the last one, and it holds no row that did not change.
    void DeltaTurnsAnyVersionIntoTheNext()
    {
        CHECK_PROPERTY("delta from any version",
                       []()
                       {
                           std::vector<Table> history = {MakeTable(1, {MakeRow("r0", 1)})};
                           Dice dice;
                           const int64_t edits = dice.Between(1, 12);
                           for (int n = 0; n < edits; n++)
                           {
                               Table next = history.back();
                               next.Version.Revision++;
                               const std::string name = "r" + std::to_string(dice.Between(0, 5));
                               auto found =
                                   std::find_if(next.Rows.begin(), next.Rows.end(), [&](const ServiceRow& r) { return r.Name == name; });
                               if (found == next.Rows.end())
                               {
                                   next.Rows.push_back(MakeRow(name, next.Version.Revision, static_cast<int>(dice.Between(1, 4))));
                               }
                               else if (dice.OneIn(2))
                               {
                                   next.Rows.erase(found);
                               }
                               else
                               {
                                   found->DeadlineMs = static_cast<int>(dice.Between(1, 1000));
                               }
                               AssignRowRevisions(history.back(), &next);
                               history.push_back(next);
                           }
                           const Table& last = history.back();
                           for (const Table& have : history)
                           {
                               const TableDelta delta = MakeDelta(last, have.Version);
                               const Result<TablePtr> applied = ApplyDelta(have, delta);
                               RC_ASSERT(applied.has_value());
                               RC_ASSERT(applied.value()->Version == last.Version);
                               for (const ServiceRow& row : delta.Rows)
                               {
                                   RC_ASSERT(delta.From.Revision == 0 || row.Revision > have.Version.Revision);
                               }
                           }
                       });
    }

    void DeltaAppliesAllOrNothing()
    {
        const Table before = MakeTable(1, {MakeRow("a", 1), MakeRow("b", 1)});
        Table after = before;
        after.Version.Revision = 2;
        after.Rows[0].DeadlineMs = 77;
        AssignRowRevisions(before, &after);
        TableDelta delta = MakeDelta(after, before.Version);
        delta.Rows.clear(); // Lost on the way.
        const Result<TablePtr> applied = ApplyDelta(before, delta);
        CPPUNIT_ASSERT(!applied.has_value());
        CPPUNIT_ASSERT_EQUAL(int(Code_TableDigestMismatch), int(applied.error().Code));
        const Table other = MakeTable(5, {MakeRow("z", 5)});
        CPPUNIT_ASSERT(!ApplyDelta(other, MakeDelta(after, before.Version)).has_value());
    }

    void DeltaAfterRemovalAndReturn()
    {
        const Table one = MakeTable(1, {MakeRow("a", 1), MakeRow("b", 1)});
        Table two = MakeTable(2, {MakeRow("a", 1)});
        AssignRowRevisions(one, &two);
        Table three = MakeTable(3, {MakeRow("a", 1), MakeRow("b", 3)});
        AssignRowRevisions(two, &three);
        for (const Table* have : std::initializer_list<const Table*>{&one, &two, &three})
        {
            const Result<TablePtr> applied = ApplyDelta(*have, MakeDelta(three, have->Version));
            CPPUNIT_ASSERT(applied.has_value());
            CPPUNIT_ASSERT(FindRow(*applied.value(), "b") != nullptr);
        }
    }

    void GarbageNeverCrashes()
    {
        CHECK_PROPERTY("mutated tables are read or refused",
                       []()
                       {
                           std::string text = GoodTable;
                           Dice dice;
                           const int64_t changes = dice.Between(1, 8);
                           for (int n = 0; n < changes; n++)
                           {
                               text[static_cast<size_t>(dice.Between(0, static_cast<int64_t>(text.size())))] =
                                   static_cast<char>(dice.Between(0, 256));
                           }
                           const CheckedTable checked = ParseTable(text);
                           RC_ASSERT(!checked.Faults.empty() || CheckTable(checked.Value).empty());
                       });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableTest);

} // namespace Winchlink
