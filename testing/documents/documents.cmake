# The example documents must be valid, and the check of changes must accept
# documents that are unchanged.
foreach(name kandyan-chime krampon)
  set(documents ${PROJECT_SOURCE_DIR}/examples/deployments/${name})
  add_test(NAME example_documents_${name}
    COMMAND sassafrasknotctl validate ${documents})
  add_test(NAME example_documents_unchanged_${name}
    COMMAND sassafrasknotctl submit-check ${documents} ${documents})
endforeach()

sassafrasknot_tests(sassafrasknot_schema_test
  ${CMAKE_CURRENT_LIST_DIR}/schema_test.cpp sassafrasknot_protocol)
target_compile_definitions(sassafrasknot_schema_test
  PRIVATE SCHEMA_FOLDER="${PROJECT_SOURCE_DIR}/docs/schema")
